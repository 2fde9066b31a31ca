//go:build review

package stage

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of a replica that gets orders after it has left.
const (
	drainBound   = 3 * time.Second                  // drainMs in the settings
	serveFor     = drainBound + 2*time.Second       // that the replica goes on serving, "a little longer"
	freezeFor    = 3500 * time.Millisecond          // as in the site file
	firstOrder   = drainBound + 50*time.Millisecond // after the acknowledgement, at the daemons that are asked
	orderSpacing = 40 * time.Millisecond            // between these orders
	drainRounds  = 7
	orderBudget  = 2 * time.Second // X-Deadline-Ms and timeoutMs
	orderWork    = 90 * time.Millisecond
	loadPeriod   = 125 * time.Millisecond // between the orders at each daemon of the other zones
	watcherCount = 2                      // daemons of a zone that watch the store
)

// playDrain lets one of the two replicas of the order desk leave while the two daemons that watch
// the store for one zone stand still. The other replica is busy, and now and then has no room. It
// checks that no order reaches the replica that left later than drainMs after the store has
// acknowledged that it is gone.
func playDrain(c *cluster, trouble bool) (bool, error) {
	routes := []route{{
		Name: "orders", Host: "shop.example", Prefix: "/orders/", Type: "non_idempotent", Timeout: 2000, Objective: 400,
		Priority: 2, Attempts: 2, Service: orderService,
	}}
	if err := c.configure(3, routes, map[string]int{orderService: 110}); err != nil {
		return false, err
	}
	zones := slices.Concat(
		slices.Repeat([]string{"zone-a"}, 8), slices.Repeat([]string{"zone-b"}, 6), slices.Repeat([]string{"zone-c"}, 6),
	)
	if err := c.startDaemons(zones...); err != nil {
		return false, err
	}
	stays, err := c.newReplica("zone-a", orderWork)
	if err != nil {
		return false, err
	}
	late := 0
	for round := range drainRounds {
		n, err := c.playDrainRound(round, trouble)
		if err != nil {
			return false, err
		}
		late += n
	}
	c.record.line("rounds=%d late=%d orders at %s=%d", drainRounds, late, stays.id, len(stays.arrivals()))
	return late == 0, nil
}

// playDrainRound plays one departure and returns the number of orders that came too late.
func (c *cluster) playDrainRound(round int, trouble bool) (int, error) {
	leaver, err := c.newReplica("zone-b", orderWork)
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, d := range c.daemons {
		if d.zone != "zone-a" {
			clients.Go(func() { c.load(stop, d, strconv.Itoa(round)) })
		}
	}
	time.Sleep(contactTime) // the daemons that stood still are in touch again
	watchers, asked := c.splitZone("zone-a")
	if len(watchers) != watcherCount {
		return 0, fmt.Errorf("%d daemons of the zone watch the store", len(watchers))
	}
	if trouble {
		for _, d := range watchers {
			c.record.line("round %d: %s stands still", round, d.name)
			d.signal(syscall.SIGSTOP)
		}
	}
	acknowledged, err := leaver.leave()
	if err != nil {
		return 0, err
	}
	c.record.line("round %d: the store acknowledges that %s is gone", round, leaver.id)
	for i, d := range asked {
		clients.Go(func() {
			time.Sleep(time.Until(acknowledged.Add(firstOrder + time.Duration(i)*orderSpacing)))
			c.post(fmt.Sprintf("order-%d-%s", round, d.name), d)
		})
	}
	time.Sleep(time.Until(acknowledged.Add(freezeFor)))
	if trouble {
		for _, d := range watchers {
			d.signal(syscall.SIGCONT)
			c.record.line("round %d: %s goes on", round, d.name)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(serveFor)))
	close(stop)
	clients.Wait()
	leaver.crash()
	return c.countLate(leaver, acknowledged), nil
}

// splitZone returns the daemons of a zone that watch the store most of the time, and the others.
func (c *cluster) splitZone(zone string) (watchers, others []*daemon) {
	const samples = 20
	watching := make(map[*daemon]int)
	for range samples {
		for _, d := range c.daemons {
			if d.watches.Load() > 0 {
				watching[d]++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, d := range c.daemons {
		switch {
		case d.zone != zone:
		case watching[d] > samples/2:
			watchers = append(watchers, d)
		default:
			others = append(others, d)
		}
	}
	return watchers, others
}

// countLate counts the orders that reached a replica after its drain bound.
func (c *cluster) countLate(r *replica, acknowledged time.Time) int {
	late := 0
	for _, a := range r.arrivals() {
		if after := a.at.Sub(acknowledged); after > drainBound {
			late++
			c.record.line("late: %s reached %s %d ms after the store's acknowledgement", a.id, r.id, after.Milliseconds())
		}
	}
	return late
}

// load sends orders to a daemon at a steady rate until stop is closed.
func (c *cluster) load(stop <-chan struct{}, d *daemon, name string) {
	var orders sync.WaitGroup
	defer orders.Wait()
	ticker := time.NewTicker(loadPeriod)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			orders.Go(func() { c.post(fmt.Sprintf("load-%s-%s-%d", name, d.name, n), d) })
		}
	}
}

// post sends an order to a daemon and waits for the answer.
func (c *cluster) post(id string, d *daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), orderBudget+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front()+"/orders/new",
		strings.NewReader("panels for "+id))
	if err != nil {
		c.record.line("%s: %v", id, err)
		return
	}
	request.Host = "shop.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	c.record.line("sent %s", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.record.line("no answer to %s: %v", id, err)
		return
	}
	_ = response.Body.Close()
	c.record.line("answer to %s: %d", id, response.StatusCode)
}
