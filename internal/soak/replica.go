package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/platform"
)

// Behaviours of a replica, beside answering.
const (
	sound = iota
	slow
	failing   // half of its requests end with status 500
	shedding  // half of its requests are refused, not run
	hanging   // half of its requests get no answer
	cutting   // half of its answers are cut
	doubling  // half of its answers come twice, the second one late
	behaviour // number of behaviours
)

// drainBound is within which a leaving replica gets nothing new. The settings of
// the daemons say so.
const drainBound = 3 * time.Second

// lapse is how long the entry of a replica stays that has ended without a word.
const lapse = 500 * time.Millisecond

// serial numbers the answers of all replicas.
var serial atomic.Int64

// replica stands in for one start of a replica.
type replica struct {
	world    *world
	instance ramp.Instance
	server   *http.Server
	proxy    *proxy

	mutex  sync.Mutex // guards the fields below
	acts   int
	left   time.Time // when the store had acknowledged that it leaves; zero while it stays
	random *rand.Rand
}

// newReplica starts a replica behind a proxy and registers it.
func (w *world) newReplica(service string) error {
	listener, err := net.Listen("tcp", w.host+":0")
	if err != nil {
		return err
	}
	p, err := newProxy(w.host, listener.Addr().String())
	if err != nil {
		return err
	}
	return w.serveReplica(service, listener, p)
}

// reuse ends a replica without a word and gives its address to a replica of
// another service. Its entry goes a moment later.
func (w *world) reuse(r *replica, service string) error {
	listener, err := net.Listen("tcp", w.host+":0")
	if err != nil {
		return err
	}
	r.proxy.turn(listener.Addr().String())
	if err := w.serveReplica(service, listener, r.proxy); err != nil {
		return err
	}
	time.Sleep(lapse)
	return r.leave()
}

// serveReplica serves a replica behind the proxy and registers it.
func (w *world) serveReplica(service string, listener net.Listener, p *proxy) error {
	r := &replica{world: w, proxy: p, random: rand.New(rand.NewPCG(w.seed, uint64(serial.Add(1))))}
	w.mutex.Lock()
	w.started++
	id := fmt.Sprintf("i-%s-%d", service, w.started)
	r.instance = ramp.Instance{
		Replica: ramp.Replica{ID: id, Address: p.address(), Domain: zones[w.started%len(zones)]}, Service: service,
		State: ramp.Live, Capacity: 4, StartedMillis: time.Now().UnixMilli(), Sequence: 1,
	}
	w.replicas = append(w.replicas, r)
	w.mutex.Unlock()
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(listener) }() // until it is closed
	return r.write()
}

// write puts the replica's entry into the store.
func (r *replica) write() error {
	value, err := platform.EncodeInstance(r.instance)
	if err != nil {
		return err
	}
	return r.world.put(platform.ReplicaPrefix+r.instance.ID, value)
}

// leave lets the replica drain and end.
func (r *replica) leave() error {
	r.mutex.Lock()
	r.instance.State = ramp.Leaving
	r.instance.Sequence++
	r.mutex.Unlock()
	if err := r.write(); err != nil {
		return err
	}
	r.mutex.Lock()
	r.left = time.Now()
	r.mutex.Unlock()
	return nil
}

func (r *replica) behave(acts int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.acts = acts
}

// draw returns what the replica does to the next request, and since when it has
// left.
func (r *replica) draw() (acts int, left time.Time, n int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.acts == slow || r.random.IntN(2) == 0 {
		acts = r.acts
	}
	return acts, r.left, serial.Add(1)
}

// ServeHTTP implements [http.Handler].
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	acts, left, n := r.draw()
	if request.Header.Get("X-Target-Instance") != r.instance.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if calm := r.world.calmFor(); !left.IsZero() && calm >= inTouch {
		late := time.Since(left) - drainBound
		r.world.ledger.check("drain", late <= 0, "%s reached %s %s after its bound", id, r.instance.ID, late)
	}
	if acts == shedding {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	stamp := fmt.Sprintf("%s.%s.%d", r.instance.Service, r.instance.ID, n)
	status := http.StatusOK
	if acts == failing {
		status = http.StatusInternalServerError
	}
	r.world.ledger.begin(id, run{service: r.instance.Service, stamp: stamp, status: status, at: time.Now()})
	r.work(request, acts)
	r.answer(w, acts, id, stamp, status, append(recordsOf(id, r.instance.Service), body...))
}

// work takes as long as the replica takes.
func (r *replica) work(request *http.Request, acts int) {
	took := time.Duration(1+rand.IntN(8)) * time.Millisecond
	switch acts {
	case slow:
		took += 150 * time.Millisecond
	case hanging:
		took = 10 * time.Second
	}
	select {
	case <-time.After(took):
	case <-request.Context().Done():
	}
}

func (r *replica) answer(w http.ResponseWriter, acts int, id, stamp string, status int, body []byte) {
	if acts != cutting && acts != doubling {
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Server-Stamp", stamp)
		w.WriteHeader(status)
		_, _ = w.Write(body) // the daemon may have given up
		return
	}
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n",
		status, id, stamp, len(body))
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_ = buffer.Flush()
	whole := append([]byte(head), body...)
	if acts == cutting {
		_, _ = connection.Write(whole[:len(whole)-len(body)/2])
		return
	}
	_, _ = connection.Write(whole)
	if acts == doubling {
		time.Sleep(5 * time.Millisecond)
		_, _ = connection.Write(whole)
		time.Sleep(50 * time.Millisecond)
	}
}
