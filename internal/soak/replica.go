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

// Behaviours of a replica.
const (
	sound = iota
	slow
	failing        // half of its requests end with status 500
	shedding       // half of its requests are refused as not executed
	hanging        // half of its requests are delayed beyond any deadline
	cutting        // half of its responses are truncated
	doubling       // half of its responses are sent twice, the second one late
	behaviourCount // number of behaviours that are drawn
	limiting       // all of its responses name a rate limit
	refusing       // all of its requests are refused for a time
)

// drainBound is the time after which a leaving replica must get no new requests. It
// matches drainMs in the settings of the daemons.
const drainBound = 3 * time.Second

// leaseExpiry is how long the registration of a replica remains after the replica has
// ended without deregistering.
const leaseExpiry = 500 * time.Millisecond

// What replicas say of themselves.
const (
	namedLimit  = 4.0 // requests per second
	refusedTime = 2 * time.Second
	// reactionTime is how long a daemon that was told may go on as before.
	reactionTime = 500 * time.Millisecond
	// untoldRequests bounds the requests of daemons that were not told yet: each daemon
	// has some under way when it hears of it first, and some daemons restart.
	untoldRequests = 15
)

// serial numbers the requests and random sources of all replicas.
var serial atomic.Int64

// replica is a stand-in for one incarnation of a replica.
type replica struct {
	cluster  *cluster
	instance ramp.Instance
	server   *http.Server
	proxy    *proxy

	mutex  sync.Mutex // guards the fields below
	acts   int
	left   time.Time // when the store acknowledged the leaving state; zero before
	quiet  bool      // it says in its responses that it leaves
	random *rand.Rand
	limit  statement // that it names a limit
	refuse statement // that it refuses requests for a time
	leaves statement // that it leaves
}

// statement is something that a replica says of itself, with the requests that come although
// it said so. It is an immutable value.
type statement struct {
	since    time.Time // first response that says so; zero for none
	arrivals int       // requests later than from after it
}

// withRequest returns the statement after a request, which counts if it comes later than from
// after the first response that said so.
func (s statement) withRequest(now time.Time, from time.Duration) statement {
	switch {
	case s.since.IsZero():
		s.since = now
	case now.Sub(s.since) > from:
		s.arrivals++
	}
	return s
}

// newReplica starts a replica behind a proxy and registers it.
func (w *cluster) newReplica(service string) error {
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

// reuse replaces a replica, without deregistering it, by a replica of another service
// at the same address. The old registration changes to leaving after leaseExpiry.
func (w *cluster) reuse(r *replica, service string) error {
	listener, err := net.Listen("tcp", w.host+":0")
	if err != nil {
		return err
	}
	r.proxy.redirect(listener.Addr().String())
	if err := w.serveReplica(service, listener, r.proxy); err != nil {
		return err
	}
	time.Sleep(leaseExpiry)
	return r.leave()
}

// serveReplica serves a replica behind the proxy and registers it.
func (w *cluster) serveReplica(service string, listener net.Listener, p *proxy) error {
	r := &replica{cluster: w, proxy: p, random: rand.New(rand.NewPCG(w.seed, uint64(serial.Add(1))))}
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

// write writes the replica's registration to the store.
func (r *replica) write() error {
	value, err := platform.EncodeInstance(r.instance)
	if err != nil {
		return err
	}
	return r.cluster.put(platform.ReplicaPrefix+r.instance.ID, value)
}

// leave registers the replica as leaving, so that daemons drain it.
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
	r.acts, r.limit, r.refuse = acts, statement{}, statement{}
}

// leaveQuietly makes the replica say that it leaves in its responses alone.
func (r *replica) leaveQuietly() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.quiet = true
}

// speak adds what the replica says of itself to the header of a response, and checks that
// requests have ceased accordingly. It reports whether the request is refused.
func (r *replica) speak(header http.Header, acts int) (refused bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now, ledger := time.Now(), r.cluster.ledger
	if r.quiet {
		r.leaves = r.leaves.withRequest(now, drainBound)
		header.Set("Server-Leaving", "1")
		ledger.check("leaving", r.leaves.arrivals <= untoldRequests, "%s got %d requests after it had said that it leaves",
			r.instance.ID, r.leaves.arrivals)
	}
	switch acts {
	case limiting:
		r.limit = r.limit.withRequest(now, reactionTime)
		header.Set("Server-Limit", fmt.Sprint(namedLimit))
		allowed := untoldRequests + 1.5*namedLimit*now.Sub(r.limit.since).Seconds()
		ledger.check("limit", float64(r.limit.arrivals) <= allowed, "%s got %d requests of %.0f under its limit",
			r.instance.ID, r.limit.arrivals, allowed)
	case refusing:
		if now.Sub(r.refuse.since) > refusedTime {
			r.refuse = statement{}
		}
		r.refuse = r.refuse.withRequest(now, reactionTime)
		header.Set("Retry-After", fmt.Sprint(refusedTime.Seconds()))
		ledger.check("refuse", r.refuse.arrivals <= untoldRequests, "%s got %d requests while it refused all",
			r.instance.ID, r.refuse.arrivals)
		return true
	}
	return false
}

// draw returns the behaviour for the next request, the time at which the replica
// began to leave, and a serial number.
func (r *replica) draw() (acts int, left time.Time, n int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.acts == slow || r.acts == limiting || r.acts == refusing || r.random.IntN(2) == 0 {
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
	if calm := r.cluster.faultFreeFor(); !left.IsZero() && calm >= settleTime {
		late := time.Since(left) - drainBound
		r.cluster.ledger.check("drain", late <= 0, "%s reached %s %s after its drain bound", id, r.instance.ID, late)
	}
	r.cluster.tenants.checkArrival(r.cluster.ledger, id, request)
	if r.speak(w.Header(), acts) || acts == shedding {
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
	r.cluster.ledger.begin(id, run{service: r.instance.Service, stamp: stamp, status: status, at: time.Now()})
	r.cluster.tenants.count(id)
	r.work(request, acts)
	r.answer(w, acts, id, stamp, status, append(recordsOf(id, r.instance.Service), body...))
}

// work waits for the service time of the request or until the request is cancelled.
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
