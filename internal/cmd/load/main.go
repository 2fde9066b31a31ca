// Command load sends a mix of requests to daemons and prints quantiles,
// coverage and extra load.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alexflint/go-arg"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/internal/standin"
)

type arguments struct {
	Address  string `arg:"--address,required" help:"IP number and port of any daemon"`
	Key      string `arg:"--key,required" help:"the customer's key"`
	Service  string `arg:"--service,required" help:"service to ask"`
	Requests int    `arg:"--requests" default:"1000" help:"number of requests"`
	Callers  int    `arg:"--callers" default:"8" help:"requests in progress at once"`
	Reads    int    `arg:"--reads" default:"20" help:"reads among 100 requests"`
	Orders   int    `arg:"--orders" default:"5" help:"orders among 100 requests"`
}

// repeats is how often a request is sent at most that is refused under load.
const repeats = 20

// tally is what the callers have counted together.
type tally struct {
	mutex    sync.Mutex
	latency  *hdrhistogram.Histogram // microseconds
	ran      map[string]int          // by the answer's statement
	reasons  map[string]int          // by the refusal's reason
	complete int
	partial  int     // answers that do not cover all, refusals not included
	covered  float64 // sum of the covered shares
	attempts int
	extra    int // retries and hedges
	repeated int // requests sent again after a refusal under load
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	client := caller.Client{Key: a.Key, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: a.Callers}}}
	addresses, _, err := client.Addresses(context.Background(), a.Address, "")
	if err != nil {
		return err
	}
	if len(addresses) == 0 {
		return fmt.Errorf("%s names no addresses", a.Address)
	}
	t := &tally{latency: hdrhistogram.New(1, 60_000_000, 3), ran: map[string]int{}, reasons: map[string]int{}}
	numbers := make(chan int)
	var callers sync.WaitGroup
	started := time.Now()
	for range a.Callers {
		callers.Go(func() {
			for n := range numbers {
				t.send(client, a, addresses[n%len(addresses)], n)
			}
		})
	}
	for n := range a.Requests {
		numbers <- n
	}
	close(numbers)
	callers.Wait()
	t.print(a, time.Since(started))
	return nil
}

// send makes the nth request and counts its answer.
func (t *tally) send(client caller.Client, a arguments, address string, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	keys := standin.Keys(a.Service)
	call := caller.Request{Operation: ramp.Search, Service: a.Service, WithAttempts: true}
	switch slot := n * 37 % 100; {
	case slot < a.Reads:
		call.Operation, call.Key = ramp.Read, keys[n%len(keys)]
	case slot < a.Reads+a.Orders:
		ticket, err := client.Ticket(ctx, address)
		if err != nil {
			t.count(caller.Answer{Ran: string(ramp.NotRun), Reason: "ticket"}, 0)
			return
		}
		call.Operation, call.Key, call.Ticket = ramp.Order, keys[n%len(keys)], ticket
	}
	started := time.Now()
	for range repeats {
		answer, err := client.Run(ctx, address, call)
		if err != nil {
			answer = caller.Answer{Ran: string(ramp.RanUnknown), Reason: "connection"}
		}
		pause, again := repeatAfter(answer)
		if !again {
			t.count(answer, time.Since(started))
			return
		}
		t.countRepeat()
		time.Sleep(pause)
	}
	t.count(caller.Answer{Ran: string(ramp.NotRun), Reason: string(ramp.ReasonLoad)}, time.Since(started))
}

// repeatAfter returns how long to wait before a request that was refused under
// load, as not run, is sent again, as the refusal asks. The latency that is
// counted includes the wait.
func repeatAfter(answer caller.Answer) (time.Duration, bool) {
	if answer.Reason != string(ramp.ReasonLoad) || answer.Ran != string(ramp.NotRun) {
		return 0, false
	}
	pause, err := time.ParseDuration(answer.RetryAfter)
	return pause, err == nil && pause > 0
}

func (t *tally) countRepeat() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.repeated++
}

func (t *tally) count(answer caller.Answer, elapsed time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_ = t.latency.RecordValue(elapsed.Microseconds()) // a longer one is not counted
	t.ran[answer.Ran]++
	if answer.Reason != "" {
		t.reasons[answer.Reason]++
	}
	switch {
	case answer.Complete:
		t.complete++
	case answer.Reason == "":
		t.partial++
	}
	var covered uint64
	for _, r := range answer.Covered {
		covered += r[1] - r[0]
	}
	if whole := answer.Requested[1] - answer.Requested[0]; whole > 0 {
		t.covered += float64(covered) / float64(whole)
	}
	for _, attempt := range answer.Attempts {
		t.attempts++
		if attempt.Kind != string(ramp.First) {
			t.extra++
		}
	}
}

func (t *tally) print(a arguments, elapsed time.Duration) {
	quantile := func(q float64) time.Duration {
		return time.Duration(t.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	fmt.Printf("requests=%d elapsed=%s rate=%.0f/s\n", a.Requests, elapsed.Round(time.Millisecond),
		float64(a.Requests)/elapsed.Seconds())
	fmt.Printf("p50=%s p90=%s p99=%s p99.9=%s\n", quantile(50), quantile(90), quantile(99), quantile(99.9))
	fmt.Printf("ran=%v refused=%v complete=%d partial=%d coverage=%.5f\n", t.ran, t.reasons, t.complete, t.partial,
		t.covered/float64(max(1, a.Requests)))
	first := max(1, t.attempts-t.extra)
	fmt.Printf("attempts=%d extra=%.2f%% repeated=%d\n", t.attempts, 100*float64(t.extra)/float64(first), t.repeated)
}
