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

// Part is a shard of an index version on a backend server.
type Part struct {
	Version uint64 `json:"version"`
	Shard   string `json:"shard"`
	Low     uint64 `json:"low"`
	High    uint64 `json:"high"`
}

// Behaviour is how a backend server works and fails.
type Behaviour struct {
	Delay     time.Duration // of every reply
	Spread    float64       // a reply takes up to this share of Delay longer or shorter
	Straggle  int           // one in so many replies takes 20 times Delay; 0 for none
	Warm      time.Time     // until then replies take coldFactor times as long
	Queue     int           // requests that may wait for a slot before others are shed; 0 for no bound
	Drain     bool          // refuses new work
	Shed      bool          // refuses new work under load
	Hang      bool          // never replies
	Lost      bool          // cannot be reached; only for [Link]
	Truncate  bool          // cuts the body short
	Crossed   bool          // replies to another attempt
	KeepQuiet bool          // does not say in /hold that it drains
}

// Factors by which a reply takes longer.
const (
	straggleFactor = 20
	coldFactor     = 5
)

// Run is one piece of work that a backend server was asked for.
type Run struct {
	Query     string    `json:"query"`
	Attempt   int       `json:"attempt"`
	Operation string    `json:"operation"`
	Shard     string    `json:"shard"`
	Version   uint64    `json:"version"`
	Key       string    `json:"key"`
	Body      string    `json:"body"`
	Server    string    `json:"server"`
	At        time.Time `json:"-"` // when it was asked for
	Refused   string    `json:"-"` // why it was not started; empty if it was
}

// Backend stands in for a backend server. Every record of its shards has the
// index version in its value.
type Backend struct {
	ID      string
	Service string
	Slots   int // pieces of work at once; more wait
	Clock   ramp.Clock

	mutex     sync.Mutex
	parts     []Part
	behaviour Behaviour
	runs      []Run
	last      *ramp.Reply // the reply before, for crossed replies
	waiting   int         // requests that wait for a slot
	slots     chan struct{}
}

// NewBackend returns a backend server without shards, on the machine's clock.
func NewBackend(id, service string, slots int) *Backend {
	return &Backend{
		ID: id, Service: service, Slots: slots, Clock: ramp.SystemClock{}, slots: make(chan struct{}, slots),
	}
}

// SetParts replaces the shards that the backend server holds.
func (b *Backend) SetParts(parts []Part) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.parts = slices.Clone(parts)
}

// Parts returns the shards that the backend server holds.
func (b *Backend) Parts() []Part {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.parts)
}

// Set changes how the backend server behaves.
func (b *Backend) Set(behaviour Behaviour) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.behaviour = behaviour
}

// Behaviour returns how the backend server behaves now.
func (b *Backend) Behaviour() Behaviour {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.behaviour
}

// Runs returns all work that was started.
func (b *Backend) Runs() []Run {
	return slices.DeleteFunc(b.Asked(), func(r Run) bool { return r.Refused != "" })
}

// Asked returns all work that was asked for, refused work included.
func (b *Backend) Asked() []Run {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.runs)
}

// Handler serves the backend server's protocol.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", b.run)
	mux.HandleFunc("GET /hold", b.hold)
	return mux
}

func (b *Backend) hold(w http.ResponseWriter, _ *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	drain := b.behaviour.Drain && !b.behaviour.KeepQuiet
	writeJSON(w, http.StatusOK, map[string]any{"service": b.Service, "drain": drain, "shards": b.parts})
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	var request Run
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	reply, reason, err := b.Serve(r.Context(), request)
	switch {
	case err != nil: // the client went away
	case reason != "":
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"reason": string(reason)})
	default:
		writeReply(w, reply, b.Behaviour().Truncate)
	}
}

// Serve does the work of a request. It returns the reply, or the outcome that
// says why the work was not started, or the error of ctx.
func (b *Backend) Serve(ctx context.Context, request Run) (ramp.Reply, ramp.Outcome, error) {
	part, behaviour, reason := b.begin(request)
	if reason != "" {
		return ramp.Reply{}, reason, nil
	}
	if err := b.work(ctx, request, behaviour); err != nil {
		return ramp.Reply{}, "", err
	}
	reply := ramp.Reply{
		Query: request.Query, Attempt: request.Attempt, Shard: part.Shard, IndexVersion: part.Version,
		Range: ramp.KeyRange{Low: part.Low, High: part.High}, Hits: b.hits(request, part),
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := b.last
	b.last = &reply
	switch {
	case behaviour.Crossed && last != nil:
		return *last, "", nil
	case behaviour.Crossed:
		reply.Query += "-other"
	}
	return reply, "", nil
}

// begin finds the shard and logs the work, or names the reason to refuse it.
func (b *Backend) begin(request Run) (Part, Behaviour, ramp.Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	part, reason := b.find(request)
	request.Server = b.ID
	request.At = b.Clock.Now()
	request.Refused = string(reason)
	b.runs = append(b.runs, request)
	if reason == "" {
		b.waiting++
	}
	return part, b.behaviour, reason
}

// find returns the shard that the request asks for. The caller holds the mutex.
func (b *Backend) find(request Run) (Part, ramp.Outcome) {
	if b.behaviour.Drain {
		return Part{}, ramp.Draining
	}
	if b.behaviour.Shed || (b.behaviour.Queue > 0 && b.waiting >= b.behaviour.Queue) {
		return Part{}, ramp.Shed
	}
	reason := ramp.VersionNotHeld
	for _, p := range b.parts {
		if p.Version == request.Version {
			reason = ramp.ShardNotHeld
		}
		if p.Version == request.Version && p.Shard == request.Shard {
			return p, ""
		}
	}
	return Part{}, reason
}

// work waits for a slot and works as long as the behaviour says, or until ctx
// ends.
func (b *Backend) work(ctx context.Context, request Run, behaviour Behaviour) error {
	taken := false
	select {
	case b.slots <- struct{}{}:
		taken = true
	case <-ctx.Done():
	}
	b.mutex.Lock()
	b.waiting--
	b.mutex.Unlock()
	if !taken {
		return ctx.Err()
	}
	defer func() { <-b.slots }()
	if behaviour.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return ramp.Sleep(ctx, b.Clock, b.duration(request, behaviour))
}

// duration returns how long the work takes. It depends on the request alone, so
// that it is the same in every run.
func (b *Backend) duration(request Run, behaviour Behaviour) time.Duration {
	hash := ramp.HashKey(fmt.Sprint(request.Query, request.Attempt, request.Shard))
	share := float64(hash%10_000)/5_000 - 1 // from -1 to 1
	delay := time.Duration(float64(behaviour.Delay) * (1 + share*behaviour.Spread))
	if behaviour.Straggle > 0 && hash/10_000%uint64(behaviour.Straggle) == 0 {
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
	_, _ = w.Write(body) // the client is gone
}

// hits returns the shard's records: all of them for a search, the one with the
// key for a read, and a receipt for an order.
func (b *Backend) hits(request Run, part Part) []ramp.Hit {
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

// records is the number of records of a service.
const records = 100

// keys holds the keys of every service that was asked for, by its name.
var keys sync.Map

// Keys returns the keys of all records of a service. They must not be modified.
func Keys(service string) []string {
	if known, ok := keys.Load(service); ok {
		return known.([]string)
	}
	made := makeKeys(service)
	keys.Store(service, made)
	return made
}

func makeKeys(service string) []string {
	keys := make([]string, 0, records)
	for i := range records {
		keys = append(keys, fmt.Sprintf("%s-%03d", service, i))
	}
	return keys
}
