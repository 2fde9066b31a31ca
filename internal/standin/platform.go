// Package standin simulates the platform and backend servers for tests and
// demonstrations. The simulations speak the real protocols and can inject
// failures.
package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/platform"
)

// VM is an entry of the VM list, as encoded in JSON.
type VM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Service string `json:"service"`
	State   string `json:"state"`
}

// Platform serves a store over HTTP with JSON bodies.
type Platform struct {
	*Store
}

// headerEra is in each response.
const headerEra = "Store-Era"

// maxPageItems is the largest number of items in one page of a range.
const maxPageItems = 500

type itemWire struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type itemsWire struct {
	Items   []itemWire `json:"items"`
	HasMore bool       `json:"hasMore"`
	AsOf    uint64     `json:"asOf"`
}

type eventsWire struct {
	Events []itemWire `json:"events"`
	AsOf   uint64     `json:"asOf"`
}

type transactionWire struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRevision"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"setKeys"`
}

type leaseWire struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttlMs"`
}

type faultWire struct {
	Down  bool   `json:"down"`
	Slow  int64  `json:"slow"` // in milliseconds
	Lose  int    `json:"lose"`
	Stale uint64 `json:"stale"`
}

// NewPlatform returns a platform with an empty store on the system clock.
func NewPlatform() *Platform { return &Platform{Store: NewStore(ramp.SystemClock{})} }

// SetVMs replaces the VM list. Clients see it once the lag of [Store.SetLag] has
// passed.
func (p *Platform) SetVMs(vms []VM) {
	list := make([]ramp.VM, 0, len(vms))
	for _, v := range vms {
		list = append(list, ramp.VM{
			ID: v.ID, Address: v.Address, Domain: v.Domain, Service: v.Service, State: ramp.VMState(v.State),
		})
	}
	p.Store.SetVMs(list)
}

// Handler returns a handler for the platform's protocol. A POST to /fault injects
// a fault into the store; an empty body ends it.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", p.get)
	mux.HandleFunc("GET /kv-range", p.list)
	mux.HandleFunc("GET /kv-watch", p.watch)
	mux.HandleFunc("POST /kv-txn", p.swap)
	mux.HandleFunc("POST /kv-lease", p.grant)
	mux.HandleFunc("POST /kv-keep/{lease}", p.keepAlive)
	mux.HandleFunc("DELETE /kv-lease-end/{lease}", p.revoke)
	mux.HandleFunc("POST /fault", func(_ http.ResponseWriter, r *http.Request) {
		var f faultWire
		_ = json.NewDecoder(r.Body).Decode(&f) // an empty body ends the fault
		slow := time.Duration(f.Slow) * time.Millisecond
		p.SetFault("", Fault{Down: f.Down, Delay: slow, LoseReplies: f.Lose, Stale: f.Stale})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerEra, p.era())
		mux.ServeHTTP(w, r)
	})
}

// era returns the era of the store as it is sent.
func (p *Platform) era() string { return strconv.FormatUint(p.Era(), 10) }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	entry, err := p.Get(r.Context(), r.URL.Query().Get("key"))
	p.writeResult(w, encodeItem(entry), err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	entries, revision, err := p.List(r.Context(), prefix)
	if prefix == platform.ReplicaPrefix && err == nil {
		entries, err = p.replicas(r)
	}
	after := r.URL.Query().Get("after")
	page := itemsWire{Items: []itemWire{}, AsOf: revision}
	for _, e := range entries {
		if e.Key <= after {
			continue
		}
		if page.HasMore = len(page.Items) == maxPageItems; page.HasMore {
			break
		}
		page.Items = append(page.Items, encodeItem(e))
	}
	p.writeResult(w, page, err)
}

// replicas returns an entry of the key-value service for each VM of the list.
func (p *Platform) replicas(r *http.Request) ([]ramp.Entry, error) {
	vms, err := p.ListVMs(r.Context())
	entries := make([]ramp.Entry, 0, len(vms))
	for _, v := range vms {
		value, _ := platform.EncodeInstance(ramp.Instance{ // cannot fail: it has only strings and numbers
			Replica: ramp.Replica{ID: v.ID, Address: v.Address, Domain: v.Domain}, Service: v.Service, State: v.State,
		})
		entries = append(entries, ramp.Entry{Key: platform.ReplicaPrefix + v.ID, Value: value, Revision: 1})
	}
	slices.SortFunc(entries, func(a, b ramp.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries, err
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	wait := time.Duration(millis) * time.Millisecond
	change, err := p.Watch(r.Context(), r.URL.Query().Get("pathPrefix"), after, wait)
	events := eventsWire{Events: []itemWire{}, AsOf: change.ToRevision}
	for _, e := range change.Entries {
		events.Events = append(events.Events, encodeItem(e))
	}
	p.writeResult(w, events, err)
}

// swap serves transactions of one condition and one write to the same key, the
// only ones that the system uses.
func (p *Platform) swap(w http.ResponseWriter, r *http.Request) {
	var request transactionWire
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil || len(request.Conditions) != 1 || len(request.Writes) != 1 ||
		request.Conditions[0].Key != request.Writes[0].Key {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	write, lease := request.Writes[0], ""
	if write.Lease != 0 {
		lease = strconv.FormatUint(write.Lease, 10)
	}
	revision, err := p.Swap(r.Context(), write.Key, write.Value, request.Conditions[0].Revision, lease)
	p.writeResult(w, itemWire{Key: write.Key, Revision: revision}, err)
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	var request leaseWire
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	id, err := p.Grant(r.Context(), time.Duration(request.TTL)*time.Millisecond)
	number, _ := strconv.ParseUint(id, 10, 64) // the id is empty if err is not nil
	p.writeResult(w, leaseWire{Lease: number, TTL: request.TTL}, err)
}

func (p *Platform) keepAlive(w http.ResponseWriter, r *http.Request) {
	p.writeResult(w, leaseWire{}, p.KeepAlive(r.Context(), r.PathValue("lease")))
}

func (p *Platform) revoke(w http.ResponseWriter, r *http.Request) {
	p.writeResult(w, leaseWire{}, p.Revoke(r.Context(), r.PathValue("lease")))
}

func encodeItem(e ramp.Entry) itemWire {
	return itemWire{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Removed}
}

// writeResult writes the value or the error. For a lost reply, and for one of a call during
// which the store was restored, it closes the connection without a response.
func (p *Platform) writeResult(w http.ResponseWriter, value any, err error) {
	var missing *ramp.NotFoundError
	var conflict *ramp.ConflictError
	switch {
	case errors.Is(err, errReplyLost), w.Header().Get(headerEra) != p.era():
		panic(http.ErrAbortHandler)
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &conflict):
		current := itemWire{Key: conflict.Key, Revision: conflict.Revision}
		writeJSON(w, http.StatusPreconditionFailed, itemsWire{Items: []itemWire{current}})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, value)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client closed the connection
}
