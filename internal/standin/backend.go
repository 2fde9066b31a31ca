package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Shard is a shard of an index version that a backend server holds.
type Shard struct {
	Version uint64 `json:"version"`
	Shard   string `json:"shard"`
	Low     uint64 `json:"low"`
	High    uint64 `json:"high"`
}

// Behaviour describes the latency of a backend server and the failures to inject.
type Behaviour struct {
	Delay         time.Duration // before each reply
	Jitter        float64       // jitter: largest deviation from Delay, as a fraction of it
	StraggleEvery int           // on average one in this many replies takes 20 times Delay; 0 for none
	Warm          time.Time     // end of the warm-up, in which replies take coldFactor times as long
	Queue         int           // requests that may wait for a slot, above which new ones are shed; 0 for no limit
	Drain         bool          // refuses new requests because the server drains
	Shed          bool          // refuses new requests because the server is overloaded
	Hang          bool          // never replies
	Unreachable   bool          // the server is unreachable; only [Link] honours it
	Truncate      bool          // sends only half of the reply's body
	WrongAttempt  bool          // sends the reply to another attempt
	HideDrain     bool          // does not report in /hold that it drains
}

// Factors by which stragglers and a cold server delay a reply.
const (
	straggleFactor = 20
	coldFactor     = 5
)

// Request is a request that a backend server received.
type Request struct {
	Query         string    `json:"query"`
	Attempt       int       `json:"attempt"`
	Operation     string    `json:"operation"`
	Shard         string    `json:"shard"`
	Version       uint64    `json:"version"`
	Key           string    `json:"key"`
	Body          string    `json:"body"`
	Server        string    `json:"server"`
	ReceivedAt    time.Time `json:"-"` // when the server received it
	RefusalReason string    `json:"-"` // why the server refused it; empty if it was started
}

// Backend simulates a backend server. The value of each of its records contains
// the index version.
type Backend struct {
	ID      string
	Service string
	Slots   int // requests served at once; further ones wait
	Clock   ramp.Clock

	mutex     sync.Mutex
	shards    []Shard
	behaviour Behaviour
	requests  []Request
	lastReply *ramp.Reply // the previous reply, which a server with Behaviour.Crossed sends again
	waiting   int         // requests that wait for a slot
	slots     chan struct{}
}

// NewBackend returns a backend server without shards, on the system clock.
func NewBackend(id, service string, slots int) *Backend {
	return &Backend{
		ID: id, Service: service, Slots: slots, Clock: ramp.SystemClock{}, slots: make(chan struct{}, slots),
	}
}

// SetShards replaces the shards that the backend server holds.
func (b *Backend) SetShards(parts []Shard) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.shards = slices.Clone(parts)
}

// Shards returns the shards that the backend server holds.
func (b *Backend) Shards() []Shard {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.shards)
}

// SetBehaviour replaces the behaviour of the backend server. Requests that were
// admitted keep the earlier one, except for Truncate.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.behaviour = behaviour
}

// Behaviour returns the current behaviour of the backend server.
func (b *Backend) Behaviour() Behaviour {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.behaviour
}

// StartedRequests returns all requests that were started.
func (b *Backend) StartedRequests() []Request {
	return slices.DeleteFunc(b.Requests(), func(r Request) bool { return r.RefusalReason != "" })
}

// Requests returns all requests that were received, refused ones included.
func (b *Backend) Requests() []Request {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.requests)
}

// Handler returns a handler for the backend server's protocol.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", b.run)
	mux.HandleFunc("GET /hold", b.reportInventory)
	return mux
}

func (b *Backend) reportInventory(w http.ResponseWriter, _ *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	drain := b.behaviour.Drain && !b.behaviour.HideDrain
	writeJSON(w, http.StatusOK, map[string]any{"service": b.Service, "drain": drain, "shards": b.shards})
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	var request Request
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	reply, reason, err := b.Serve(r.Context(), request)
	switch {
	case err != nil: // the client closed the connection
	case reason != "":
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"reason": string(reason)})
	default:
		writeReply(w, reply, b.Behaviour().Truncate)
	}
}

// Serve executes a request. It returns the reply, or the outcome that says why
// the request was not started, or the error of ctx.
func (b *Backend) Serve(ctx context.Context, request Request) (ramp.Reply, ramp.Outcome, error) {
	part, behaviour, reason := b.admit(request)
	if reason != "" {
		return ramp.Reply{}, reason, nil
	}
	if err := b.process(ctx, request, behaviour); err != nil {
		return ramp.Reply{}, "", err
	}
	reply := ramp.Reply{
		Query: request.Query, Attempt: request.Attempt, Shard: part.Shard, IndexVersion: part.Version,
		Range: ramp.KeyRange{Low: part.Low, High: part.High}, Hits: b.hits(request, part),
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := b.lastReply
	b.lastReply = &reply
	switch {
	case behaviour.WrongAttempt && last != nil:
		return *last, "", nil
	case behaviour.WrongAttempt:
		reply.Query += "-other"
	}
	return reply, "", nil
}

// admit records the request and returns the shard that it addresses, or the reason
// for refusing it.
func (b *Backend) admit(request Request) (Shard, Behaviour, ramp.Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	part, reason := b.findShard(request)
	request.Server = b.ID
	request.ReceivedAt = b.Clock.Now()
	request.RefusalReason = string(reason)
	b.requests = append(b.requests, request)
	if reason == "" {
		b.waiting++
	}
	return part, b.behaviour, reason
}

// findShard returns the shard that the request addresses, or the reason for
// refusing it. The caller must hold the mutex.
func (b *Backend) findShard(request Request) (Shard, ramp.Outcome) {
	if b.behaviour.Drain {
		return Shard{}, ramp.Draining
	}
	if b.behaviour.Shed || (b.behaviour.Queue > 0 && b.waiting >= b.behaviour.Queue) {
		return Shard{}, ramp.Shed
	}
	reason := ramp.VersionNotHeld
	for _, p := range b.shards {
		if p.Version == request.Version {
			reason = ramp.ShardNotHeld
		}
		if p.Version == request.Version && p.Shard == request.Shard {
			return p, ""
		}
	}
	return Shard{}, reason
}

// process waits for a slot and holds it for the simulated service time, or until
// ctx ends.
func (b *Backend) process(ctx context.Context, request Request, behaviour Behaviour) error {
	acquired := false
	select {
	case b.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	b.mutex.Lock()
	b.waiting--
	b.mutex.Unlock()
	if !acquired {
		return ctx.Err()
	}
	defer func() { <-b.slots }()
	if behaviour.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return ramp.Sleep(ctx, b.Clock, b.duration(request, behaviour))
}

// duration returns the simulated service time. Jitter and stragglers depend on
// the request alone, so that they are the same in every run.
func (b *Backend) duration(request Request, behaviour Behaviour) time.Duration {
	hash := ramp.HashKey(fmt.Sprint(request.Query, request.Attempt, request.Shard))
	share := float64(hash%10_000)/5_000 - 1 // from -1 to 1
	delay := time.Duration(float64(behaviour.Delay) * (1 + share*behaviour.Jitter))
	if behaviour.StraggleEvery > 0 && hash/10_000%uint64(behaviour.StraggleEvery) == 0 {
		delay *= straggleFactor
	}
	if b.Clock.Now().Before(behaviour.Warm) {
		delay *= coldFactor
	}
	return delay
}

func writeReply(w http.ResponseWriter, reply ramp.Reply, truncate bool) {
	hits := make([]map[string]string, 0, len(reply.Hits))
	for _, h := range reply.Hits {
		hits = append(hits, map[string]string{"key": h.Key, "value": h.Value})
	}
	body, _ := json.Marshal(map[string]any{
		"query": reply.Query, "attempt": reply.Attempt, "shard": reply.Shard, "version": reply.IndexVersion,
		"low": reply.Range.Low, "high": reply.Range.High, "hits": hits,
	})
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if truncate {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // fails only if the client closed the connection
}

// hits returns all records of the shard for a search, the record with the key
// for a read, and a confirmation for an order.
func (b *Backend) hits(request Request, part Shard) []ramp.Hit {
	value := fmt.Sprintf("%s v%d", b.Service, part.Version)
	if request.Operation == string(ramp.Order) {
		return []ramp.Hit{{Key: request.Key, Value: value + " ordered " + request.Body}}
	}
	if request.Body != "" {
		value += " for " + request.Body
	}
	owned := ramp.KeyRange{Low: part.Low, High: part.High}
	var hits []ramp.Hit
	for _, key := range Keys(b.Service) {
		if owned.Contains(ramp.HashKey(key)) && (request.Key == "" || key == request.Key) {
			hits = append(hits, ramp.Hit{Key: key, Value: value})
		}
	}
	return hits
}

// recordsPerService is the number of records that every service has.
const recordsPerService = 100

// serviceKeys caches the results of [Keys], by service name.
var serviceKeys sync.Map

// Keys returns the keys of all records of a service. They must not be modified.
func Keys(service string) []string {
	if cached, ok := serviceKeys.Load(service); ok {
		return cached.([]string)
	}
	created := makeKeys(service)
	serviceKeys.Store(service, created)
	return created
}

func makeKeys(service string) []string {
	keys := make([]string, 0, recordsPerService)
	for i := range recordsPerService {
		keys = append(keys, fmt.Sprintf("%s-%03d", service, i))
	}
	return keys
}
