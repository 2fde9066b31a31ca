package stand2

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is an in-memory platform store that speaks the pages' protocol.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	events   []item // all changes, oldest first
	revision uint64
	leases   map[uint64]lease
	nextID   uint64
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{
		items: map[string]item{}, leases: map[uint64]lease{}, revision: 1, nextID: 100, changed: make(chan struct{}),
	}
}

// put writes a key and returns the time at which the store acknowledged it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, data, 0)
	return time.Now()
}

// remove removes a key and returns the time at which the store acknowledged it.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.erase(key)
	return time.Now()
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.notify(i)
}

func (s *store) erase(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.erase(key)
		}
	}
}

// handler returns the store's HTTP interface.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the daemon may be gone
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{i, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("pathPrefix")) && key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	const page = 500
	reply(w, http.StatusOK, map[string]any{
		"items": items[:min(page, len(items))], "hasMore": len(items) > page, "asOf": s.revision,
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mutex.Lock()
		s.expireLeases()
		events, changed, revision := []item{}, s.changed, s.revision
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("pathPrefix")) {
				events = append(events, e)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // leases expire meanwhile
		case <-expired:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Conditions []item   `json:"expectedRevision"`
		Writes     []item   `json:"setKeys"`
		Removes    []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	current, holds := []item{}, true
	for _, c := range request.Conditions {
		i := s.items[c.Key]
		i.Key = c.Key
		current = append(current, i)
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range request.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, i := range request.Writes {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range request.Removes {
		s.erase(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextID++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": request.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, struct{}{})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
