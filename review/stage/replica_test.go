//go:build review

package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// replica is a stand-in for a replica. It registers in the store, runs each request once and
// answers with its own signature. While it is dark it neither accepts connections nor reads or
// writes on those that it has, like a machine behind a partition.
type replica struct {
	id       string
	address  string
	zone     string
	work     time.Duration
	cluster  *cluster
	listener *darkListener
	dark     bool
	server   *http.Server
	mutex    sync.Mutex // guards the fields below
	sequence int
	born     int64
	count    int
	lease    string // of its entry
	leaving  bool   // it says in its answers that it leaves
	arrived  []arrival
	slots    chan struct{} // requests that it works on
	queue    int           // requests that wait for a slot
}

// Capacity of a replica, as that of the order desk on the users' sheet, and a short queue.
const (
	replicaSlots = 4
	replicaQueue = 4
)

// arrival is a request that reached a replica.
type arrival struct {
	id       string
	at       time.Time
	answered bool
}

// arrivals returns the requests that reached the replica so far.
func (r *replica) arrivals() []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]arrival(nil), r.arrived...)
}

// entry is a replica's entry in the store.
type entry struct {
	Service  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Warmup   int    `json:"warmupLeftMs"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// leaseTime is longer than a case: replicas end the leases of their entries themselves.
const leaseTime = 5 * time.Minute

// orderService is the service of all replicas.
const orderService = "orders"

// newReplica starts a replica and registers it.
func (c *cluster) newReplica(zone string, work time.Duration) (*replica, error) {
	listener, err := newDarkListener(c.host)
	if err != nil {
		return nil, err
	}
	c.started++
	r := &replica{
		id: fmt.Sprintf("i-%d", c.started), address: listener.Addr().String(), zone: zone,
		work: work, cluster: c, listener: listener, slots: make(chan struct{}, replicaSlots), born: time.Now().UnixMilli(),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(listener) }()
	c.replicas = append(c.replicas, r)
	if r.lease, err = c.store.For("outside").Grant(context.Background(), leaseTime); err != nil {
		return nil, err
	}
	return r, r.register("ready")
}

// register writes the entry with a state.
func (r *replica) register(state string) error {
	r.mutex.Lock()
	r.sequence++
	value, err := json.Marshal(entry{
		Service: orderService, Address: r.address, Zone: r.zone, Version: "v1", Capacity: replicaSlots, State: state,
		Sequence: r.sequence, Born: r.born,
	})
	r.mutex.Unlock()
	if err != nil {
		return err
	}
	return r.cluster.put("servers/"+r.id, value, r.lease)
}

// leave removes the entry without a report that the replica drains. The replica goes on serving.
// It says in its answers that it leaves. leave returns the time of the store's acknowledgement.
func (r *replica) leave() (time.Time, error) {
	r.mutex.Lock()
	r.leaving = true
	r.mutex.Unlock()
	err := r.cluster.store.For("outside").Revoke(context.Background(), r.lease)
	return time.Now(), err
}

// crash ends the replica at once. It sends nothing to the store.
func (r *replica) crash() { _ = r.server.Close() }

// ServeHTTP implements [http.Handler].
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	at := time.Now()
	id := request.Header.Get("X-Request-Id")
	if request.Header.Get("X-Target-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the request was broken off before it was whole
	}
	w.Header().Set("X-Request-Id", id)
	n, leaving, full := r.arrive(id, at)
	if leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	stamp, ran := r.execute(request, id)
	if !ran {
		return // a replica drops a request when its connection closes
	}
	r.mutex.Lock()
	r.arrived[n].answered = true
	r.mutex.Unlock()
	w.Header().Set("X-Server-Stamp", stamp)
	_, _ = w.Write(append([]byte(stamp+" "), body...))
}

// arrive records a request, and returns its position among the arrivals, whether the replica
// leaves, and whether it has no room for the request.
func (r *replica) arrive(id string, at time.Time) (n int, leaving, full bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n = len(r.arrived)
	r.arrived = append(r.arrived, arrival{id: id, at: at})
	if full = len(r.slots) == cap(r.slots) && r.queue >= replicaQueue; !full {
		r.queue++
	}
	return n, r.leaving, full
}

// execute waits for a slot and works on a request. It returns the signature of the answer, or
// false when the connection has closed.
func (r *replica) execute(request *http.Request, id string) (string, bool) {
	acquired := false
	select {
	case r.slots <- struct{}{}:
		acquired = true
	case <-request.Context().Done():
	}
	r.mutex.Lock()
	r.queue--
	r.count++
	stamp := fmt.Sprintf("%s.%d", r.id, r.count)
	r.mutex.Unlock()
	if !acquired {
		return "", false
	}
	defer func() { <-r.slots }()
	r.cluster.record.ran(id, r.id, time.Now())
	select {
	case <-time.After(r.work):
		return stamp, true
	case <-request.Context().Done():
		return "", false
	}
}

// darkListener is a listener whose connections can go silent. Its queue of new connections is
// short, so that while it accepts nothing, new connections hang once the queue is full.
type darkListener struct {
	*net.TCPListener
	mutex   sync.Mutex
	light   chan struct{} // closed while the listener is not dark
	fillers []net.Conn
}

// listenQueue is the length of the queue of new connections.
const listenQueue = 1

func newDarkListener(host string) (*darkListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	address := &syscall.SockaddrInet4{}
	copy(address.Addr[:], net.ParseIP(host).To4())
	if err := syscall.Bind(fd, address); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, listenQueue); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "replica")
	listener, err := net.FileListener(file)
	_ = file.Close()
	if err != nil {
		return nil, err
	}
	light := make(chan struct{})
	close(light)
	return &darkListener{TCPListener: listener.(*net.TCPListener), light: light}, nil
}

func (d *darkListener) lit() chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.light
}

// Accept implements [net.Listener].
func (d *darkListener) Accept() (net.Conn, error) {
	for {
		<-d.lit()
		conn, err := d.TCPListener.Accept()
		if err != nil {
			if os.IsTimeout(err) {
				continue
			}
			return nil, err
		}
		return &darkConn{Conn: conn, listener: d}, nil
	}
}

// darken makes the listener silent and fills its queue, so that connections to it hang.
func (d *darkListener) darken() {
	d.mutex.Lock()
	d.light = make(chan struct{})
	d.mutex.Unlock()
	_ = d.SetDeadline(time.Now())
	time.Sleep(20 * time.Millisecond)
	for range listenQueue + 4 {
		dialer := net.Dialer{Timeout: 50 * time.Millisecond}
		conn, err := dialer.DialContext(context.Background(), "tcp", d.Addr().String())
		if err != nil {
			return
		}
		d.fillers = append(d.fillers, conn)
	}
}

// lighten ends the silence. Connections that got into the queue meanwhile are closed unread.
func (d *darkListener) lighten() {
	for _, c := range d.fillers {
		_ = c.Close()
	}
	d.fillers = nil
	_ = d.SetDeadline(time.Now().Add(20 * time.Millisecond))
	for {
		conn, err := d.TCPListener.Accept()
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	_ = d.SetDeadline(time.Time{})
	d.mutex.Lock()
	close(d.light)
	d.mutex.Unlock()
}

// darkConn is a connection that delivers nothing while its listener is dark.
type darkConn struct {
	net.Conn
	listener *darkListener
}

// Read implements [net.Conn].
func (c *darkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	<-c.listener.lit()
	return n, err
}

// Write implements [net.Conn].
func (c *darkConn) Write(b []byte) (int, error) {
	<-c.listener.lit()
	return c.Conn.Write(b)
}
