package stand2

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playRestart plays a replica that starts again under its id while its machine's time of day
// is set back, and that is emptied and taken away later.
func playRestart(w *world) (int, error) {
	ahead := int64(0)
	if w.trouble {
		ahead = 2000 // the time of day of the replica's machine is 2 s ahead, until it jumps back
	}
	steady := &replica{
		world: w, id: "desk-1", service: "desk", zone: "a", work: 30 * time.Millisecond, born: time.Now().UnixMilli(),
	}
	if err := steady.serve(""); err != nil {
		return unplayed, err
	}
	w.configure(5, []map[string]any{route("book", "/book/", "non_idempotent", "desk", 2000)}, []string{"desk"}, nil)
	for _, name := range []string{"d1", "d2"} {
		if _, err := w.addDaemon(name, "a", "", ""); err != nil {
			return unplayed, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return unplayed, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	first := &replica{
		world: w, id: "desk-2", service: "desk", zone: "a", work: 30 * time.Millisecond,
		born: time.Now().UnixMilli() + ahead,
	}
	if err := first.serve(""); err != nil {
		return unplayed, err
	}
	w.note("desk-2 starts, born %d", first.born)
	time.Sleep(time.Second)
	first.crash()
	w.note("desk-2 crashes")
	time.Sleep(200 * time.Millisecond)
	second := &replica{
		world: w, id: "desk-2", service: "desk", zone: "a", work: 30 * time.Millisecond, born: time.Now().UnixMilli(),
	}
	if err := second.serve(first.address); err != nil {
		return unplayed, err
	}
	w.note("desk-2 starts again under its id and at its address, born %d", second.born)
	var stop atomic.Bool
	var lost atomic.Int64
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Go(func() {
			caller := w.newClient()
			for i := 0; !stop.Load(); i++ {
				a := caller.send(w.daemons[c%2], http.MethodPost, "/book/2f", fmt.Sprintf("c%d-%d", c, i), 2*time.Second, "two")
				if a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout || a.status == 0 {
					lost.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	acked := second.drain()
	w.note("the store has accepted that desk-2 is draining")
	time.Sleep((drainMs + 1500) * time.Millisecond)
	before := lost.Load()
	second.crash() // it exits, drainMs and a little longer after the ack
	w.store.remove("servers/desk-2")
	w.note("desk-2 exits")
	time.Sleep(time.Second)
	stop.Store(true)
	callers.Wait()
	late := 0
	for _, a := range second.all() {
		if a.at.Sub(acked) > drainMs*time.Millisecond {
			late++
		}
	}
	w.note("requests that reached desk-2 in its second lifetime %d, later than drainMs after the ack %d; "+
		"orders without a known outcome at its exit %d", len(second.all()), late, lost.Load()-before)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
