// Command soak runs the fault-injection soak test for a range of seeds and exits with
// code 1 if any of them finds a violation or fails.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"sycamoreramp.example/sycamoreramp/internal/soak"
)

type arguments struct {
	Binary  string        `arg:"--binary" default:".bin/sycamorerampd" help:"the daemon"`
	First   uint64        `arg:"--first" default:"1" help:"first seed"`
	Seeds   int           `arg:"--seeds" default:"1" help:"number of seeds"`
	At      int           `arg:"--at" default:"4" help:"seeds played at once"`
	Daemons int           `arg:"--daemons" default:"5" help:"processes of a seed"`
	Callers int           `arg:"--callers" default:"12" help:"callers of a seed"`
	Length  time.Duration `arg:"--length" default:"20s" help:"time of faults and calm"`
	Tenants bool          `arg:"--tenants" help:"requests have keys of tenants with allowances"`
	Restore bool          `arg:"--restore" help:"the store is restored from older copies"`
	Logs    string        `arg:"--logs" default:".bin/soaked" help:"folder for settings and logs of seeds that fail"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if failed := run(a); failed > 0 {
		fmt.Printf("%d of %d seeds found a violation\n", failed, a.Seeds)
		os.Exit(1)
	}
	fmt.Printf("%d seeds without a violation\n", a.Seeds)
}

func run(a arguments) int {
	var mutex sync.Mutex
	var playing sync.WaitGroup
	failed := 0
	room := make(chan struct{}, max(1, a.At))
	for i := range a.Seeds {
		room <- struct{}{}
		playing.Go(func() {
			defer func() { <-room }()
			seed := a.First + uint64(i)
			dir := filepath.Join(a.Logs, fmt.Sprintf("seed-%d", seed))
			report, err := soak.Run(context.Background(), soak.Config{
				Seed: seed, Daemons: a.Daemons, Callers: a.Callers, Length: a.Length, Binary: a.Binary, Dir: dir,
				Tenants: a.Tenants, Restore: a.Restore,
			})
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				fmt.Printf("seed=%d error: %v\n", seed, err)
				failed++
				return
			}
			fmt.Println(report)
			if len(report.Violations) > 0 {
				failed++
				return
			}
			_ = os.RemoveAll(dir) // logs are kept only for seeds that fail
		})
	}
	playing.Wait()
	return failed
}
