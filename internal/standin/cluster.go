package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Service configures a service of a cluster.
type Service struct {
	Name          string
	Shards        int
	Replicas      int           // of each shard, in different failure domains
	Slots         int           // of each backend server; see Backend.Slots
	Delay         time.Duration // before each reply
	StraggleEvery int           // on average one in this many replies takes 20 times as long
	ColdPeriod    time.Duration // warm-up after the start, in which replies take 5 times as long

	Connections  int           // open connections that a backend server accepts; 0 for no limit
	ConnectDelay time.Duration // delay of a new connection
}

// Cluster is a simulated platform with the backend servers of its services, which
// listen on one IP address.
type Cluster struct {
	Platform *Platform
	backends map[string]*Backend
	services map[string]*layout
	domains  int
	vms      []VM
}

// layout is the current partition of a service into shards.
type layout struct {
	Service
	version  uint64
	shards   int
	previous []Shard // shards of the previous version, which is still served
}

// NewCluster returns a cluster without services, over a number of failure
// domains.
func NewCluster(domains int) *Cluster {
	return &Cluster{
		Platform: NewPlatform(), backends: map[string]*Backend{}, services: map[string]*layout{}, domains: domains,
	}
}

// Start adds a service and starts its backend servers on host, one for each
// replica of each shard. They run until the process ends.
func (c *Cluster) Start(host string, s Service) error {
	for shard := range s.Shards {
		for replica := range s.Replicas {
			id := fmt.Sprintf("%s-%d-%d", s.Name, shard, replica)
			b := NewBackend(id, s.Name, s.Slots)
			b.SetBehaviour(Behaviour{Delay: s.Delay, StraggleEvery: s.StraggleEvery, Warm: time.Now().Add(s.ColdPeriod)})
			inner, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
			if err != nil {
				return err
			}
			server := &http.Server{Handler: b.Handler(), ReadHeaderTimeout: time.Minute}
			limited := &listener{Listener: inner, limit: s.Connections, connectDelay: s.ConnectDelay}
			go func() { _ = server.Serve(limited) }() // until the process ends
			c.backends[id] = b
			c.vms = append(c.vms, VM{
				ID: id, Address: inner.Addr().String(), Domain: fmt.Sprintf("d%d", (shard+replica)%c.domains),
				Service: s.Name, State: "live",
			})
		}
	}
	c.services[s.Name] = &layout{Service: s, shards: s.Shards}
	c.publish(s.Name)
	c.Platform.SetVMs(c.vms)
	return nil
}

// Backend returns the backend server of a service with the given id, which is
// NAME-SHARD-REPLICA, or nil.
func (c *Cluster) Backend(id string) *Backend { return c.backends[id] }

// publish creates the next index version of the service, with as many equal
// shards as its layout has. Backend servers keep the previous version too.
func (c *Cluster) publish(service string) {
	l := c.services[service]
	l.version++
	parts := Split(l.version, l.shards)
	for shard := range l.Shards {
		for replica := range l.Replicas {
			b := c.backends[fmt.Sprintf("%s-%d-%d", service, shard, replica)]
			held := shardsOnServer(parts, shard, l.Shards)
			b.SetShards(append(held, shardsOnServer(l.previous, shard, l.Shards)...))
		}
	}
	l.previous = parts
}

// Split returns the shards of an index version that divides the key space into
// count equal ranges.
func Split(version uint64, count int) []Shard {
	width := ramp.KeySpace.High / uint64(count)
	parts := make([]Shard, 0, count)
	for i := range count {
		high := width * uint64(i+1)
		if i == count-1 {
			high = ramp.KeySpace.High
		}
		shard := fmt.Sprintf("s%d", i)
		parts = append(parts, Shard{Version: version, Shard: shard, Low: width * uint64(i), High: high})
	}
	return parts
}

func shardsOnServer(parts []Shard, server, servers int) []Shard {
	var held []Shard
	for i, p := range parts {
		if i%servers == server {
			held = append(held, p)
		}
	}
	return held
}

// behaviourWire is the body of a /behave request. It does not change the delay
// and the stragglers that the service is configured with.
type behaviourWire struct {
	Server   string `json:"server"`
	Drain    bool   `json:"drain"`
	Quiet    bool   `json:"quiet"` // does not report in /hold that it drains
	Shed     bool   `json:"shed"`
	Hang     bool   `json:"hang"`
	Truncate bool   `json:"truncate"`
	Crossed  bool   `json:"crossed"`
}

// behave injects failures into a backend server, or ends them.
func (c *Cluster) behave(w http.ResponseWriter, r *http.Request) {
	var wire behaviourWire
	if json.NewDecoder(r.Body).Decode(&wire) != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	b := c.Backend(wire.Server)
	if b == nil {
		http.Error(w, "unknown backend server", http.StatusNotFound)
		return
	}
	s := c.services[b.Service].Service
	b.SetBehaviour(Behaviour{
		Delay: s.Delay, StraggleEvery: s.StraggleEvery, Drain: wire.Drain, HideDrain: wire.Quiet, Shed: wire.Shed,
		Hang: wire.Hang, Truncate: wire.Truncate, WrongAttempt: wire.Crossed,
	})
}

// Handler returns a handler for the platform's protocol and the control of the
// cluster: /repartition doubles the number of shards of a service, /behave injects
// failures into a backend server, and /orders lists the orders that backend
// servers started.
func (c *Cluster) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", c.Platform.Handler())
	mux.HandleFunc("POST /repartition", func(w http.ResponseWriter, r *http.Request) {
		service := r.URL.Query().Get("service")
		if _, ok := c.services[service]; !ok {
			http.Error(w, "unknown service", http.StatusNotFound)
			return
		}
		c.services[service].shards *= 2
		c.publish(service)
	})
	mux.HandleFunc("POST /behave", c.behave)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) {
		orders := []Request{}
		for _, b := range c.backends {
			for _, run := range b.StartedRequests() {
				if run.Operation == string(ramp.Order) {
					orders = append(orders, run)
				}
			}
		}
		_ = json.NewEncoder(w).Encode(orders) // fails only if the client closed the connection
	})
	return mux
}
