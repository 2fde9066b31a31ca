package stand2

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playForeign plays an entry of another writer, of which fields are missing. Its address is
// that of a program that is no replica.
func playForeign(w *world) (int, error) {
	for i := range 3 {
		r := &replica{
			world: w, id: fmt.Sprintf("desk-%d", i+1), service: "desk", zone: "a", work: 5 * time.Millisecond,
			born: time.Now().UnixMilli(),
		}
		if err := r.serve(""); err != nil {
			return unplayed, err
		}
	}
	w.configure(5, []map[string]any{
		route("read", "/read/", "idempotent", "desk", 2000), route("book", "/book/", "non_idempotent", "desk", 2000),
	}, []string{"desk"}, nil)
	for _, name := range []string{"d1", "d2"} {
		if _, err := w.addDaemon(name, "a", "", ""); err != nil {
			return unplayed, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return unplayed, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	var foreign atomic.Int64
	other := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") != "" {
			foreign.Add(1)
			w.note("the program that is no replica gets %s %s %s", r.Header.Get("X-Request-Id"), r.Method, r.RequestURI)
		}
		http.NotFound(rw, r)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return unplayed, err
	}
	go func() { _ = other.Serve(listener) }() // until the process ends
	if w.trouble {
		w.note("another writer writes servers/inventory-7, without version and warmupLeftMs")
		w.store.put("servers/inventory-7", map[string]any{
			"backend": "desk", "address": listener.Addr().String(), "zone": "a", "capacity": 4, "state": "ready",
			"sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(time.Second)
	var mutex sync.Mutex
	asked, denied, served := 0, 0, 0
	var callers sync.WaitGroup
	for c := range 12 {
		callers.Go(func() {
			caller := w.newClient()
			for i := range 50 {
				method, path, body := http.MethodGet, "/read/2f", ""
				if i%2 == 0 {
					method, path, body = http.MethodPost, "/book/2f", "two seats"
				}
				a := caller.send(w.daemons[c%2], method, path, fmt.Sprintf("c%d-%d", c, i), 2*time.Second, body)
				mutex.Lock()
				asked++
				switch {
				case a.status == http.StatusOK && a.stamp != "":
					served++
				case a.status >= 300 && a.status < 500 && a.stamp == "" && a.status != 408 && a.status != 421 && a.status != 429:
					denied++
				}
				mutex.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	allowed := 5 + asked/500
	w.note("asked %d, served %d, ended with a 4xx that no replica gave %d (at most %d), requests at the program that is "+
		"no replica %d", asked, served, denied, allowed, foreign.Load())
	if denied > allowed {
		return broken, nil
	}
	return held, nil
}
