package sycamoreramp

import (
	"fmt"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestPool fills the queue of a pool with one worker, closes the pool, and checks
// that no goroutine is leaked.
func TestPool(t *testing.T) {
	defer goleak.VerifyNone(t)
	var b strings.Builder
	started, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	p := NewPool(1, 2)
	submit := func(name string) {
		ok := p.Submit(func() {
			fmt.Fprintf(&b, "ran %s\n", name)
			if name == "second" {
				close(ended)
			}
		})
		fmt.Fprintf(&b, "submit %s: %t, waiting %d\n", name, ok, p.QueueLen())
	}
	p.Submit(func() {
		close(started)
		<-release
	})
	<-started
	submit("first")
	submit("second")
	submit("third, for which there is no room")
	close(release)
	<-ended
	p.Close()
	p.Close() // a second call returns: no task is running
	submit("after the end")
	golden.Check(t, "pool", b.String())
}
