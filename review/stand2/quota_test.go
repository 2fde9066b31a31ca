package stand2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Allowance of the tenant, and bounds of the deployment.
const (
	ratePerS       = 100.0
	burst          = 10.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	hotRate        = 468 // requests per second: 7.5 times the usual, of which the rate is 1.6 times
	fleet          = 8   // daemons
	darkTime       = 4500 * time.Millisecond
)

const quotaBounds = `strictRevocation = true
revokeMs = 5000
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
`

// darkListener is a listener that can go dark: then it completes no connection.
type darkListener struct {
	net.Listener
	address string
	mutex   sync.Mutex
	dark    bool
	fillers []net.Conn // connections that fill the queue of the listener while it is dark
}

// listenDark returns a listener with a short queue of new connections.
func listenDark() (*darkListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 8); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return &darkListener{Listener: l, address: l.Addr().String()}, nil
}

// Accept implements [net.Listener].
func (l *darkListener) Accept() (net.Conn, error) {
	for {
		l.mutex.Lock()
		dark := l.dark
		l.mutex.Unlock()
		if dark {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c, err := l.Listener.Accept()
		l.mutex.Lock()
		dark = l.dark
		if dark && err == nil {
			l.fillers = append(l.fillers, c) // it came when the darkness had begun
		}
		l.mutex.Unlock()
		if !dark {
			return c, err
		}
	}
}

// setDark makes the listener go dark, or ends that.
func (l *darkListener) setDark(dark bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dark = dark
	for dark {
		c, err := net.DialTimeout("tcp", l.address, 30*time.Millisecond)
		if err != nil {
			return // the queue is full
		}
		l.fillers = append(l.fillers, c)
	}
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
}

// playQuota plays a tenant that sends many times its allowance while all replicas of a
// service are dark for some seconds.
func playQuota(w *world) (int, error) {
	var listeners []*darkListener
	var replicas []*replica
	for i := range 9 {
		l, err := listenDark()
		if err != nil {
			return unplayed, err
		}
		r := &replica{
			world: w, id: fmt.Sprintf("desk-%d", i+1), service: "desk", zone: "a", work: 5 * time.Millisecond,
			born: time.Now().UnixMilli(), address: l.address, state: "ready",
		}
		go func() { _ = http.Serve(l, r) }() // until the process ends
		r.beat()
		listeners, replicas = append(listeners, l), append(replicas, r)
	}
	book := route("book", "/book/", "non_idempotent", "desk", 5000)
	book["targetLatencyMs"] = 1500
	w.configure(5, []map[string]any{book}, []string{"desk"}, map[string]any{"tenants": []map[string]any{
		{"name": "big", "apiKeys": []string{"key-big"}, "ratePerS": ratePerS, "burst": burst},
	}})
	for i := range fleet {
		if _, err := w.addDaemon(fmt.Sprintf("d%d", i+1), "a", `,"tenants","quota"`, quotaBounds); err != nil {
			return unplayed, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return unplayed, err
	}
	time.Sleep(7 * time.Second) // all machines are in touch, and the account of the tenant is settled
	var callers sync.WaitGroup
	clients := make([]*client, fleet)
	for i := range clients {
		clients[i] = w.newClient()
		clients[i].key = "key-big"
	}
	var mutex sync.Mutex
	sent, statuses := map[string]time.Time{}, map[int]int{}
	began := time.Now()
	interval := time.Second / hotRate
	isDark := false
	for i := 0; time.Since(began) < 18*time.Second; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
		elapsed := time.Since(began)
		if dark := w.trouble && elapsed > 7*time.Second && elapsed < 7*time.Second+darkTime; dark != isDark {
			isDark = dark
			w.note("all replicas dark: %v", dark)
			go func() {
				for _, l := range listeners {
					l.setDark(dark)
				}
			}()
		}
		callers.Go(func() {
			c := clients[i%fleet]
			id := fmt.Sprintf("q%d", i)
			mutex.Lock()
			sent[id] = time.Now()
			mutex.Unlock()
			a := c.send(w.daemons[i%fleet], http.MethodPost, "/book/2f", id, 5*time.Second, "two")
			mutex.Lock()
			statuses[a.status]++
			mutex.Unlock()
		})
	}
	callers.Wait()
	type run struct{ sent, arrived time.Time }
	var runs []run
	for _, r := range replicas {
		for _, a := range r.all() {
			if at, ok := sent[a.id]; ok {
				runs = append(runs, run{at, a.at})
			}
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for i, first := range runs {
		n := 0
		for _, other := range runs[i:] {
			if other.arrived.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	allowed := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOvershoot) + quotaSlack
	w.note("asked %d, ran %d, statuses %v; most runs in a window %d, from %.3f s on; allowed %.0f", len(sent), len(runs),
		statuses, most, at.Sub(w.started).Seconds(), allowed)
	if float64(most) > allowed {
		return broken, nil
	}
	return held, nil
}
