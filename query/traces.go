package query

import (
	"errors"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Trace is the trace of one request: the query, its answer or refusal, and
// the attempts made for it. It is an immutable value.
type Trace struct {
	Query   ramp.Query         // without its body
	Answer  ramp.Answer        // without its hits
	Refused *ramp.RefusedError // nil if the request was answered; never modified
	Ended   time.Time          // when the request finished
}

// ordinary reports whether the request got a complete answer from first
// attempts alone, without a retry or a hedge.
func (t Trace) ordinary() bool {
	extra := func(a ramp.Attempt) bool { return a.Kind != ramp.First }
	return t.Refused == nil && t.Answer.Complete() && !slices.ContainsFunc(t.Answer.Attempts, extra)
}

// size returns the capacity that the trace takes: one for each attempt and one
// for the request.
func (t Trace) size() int { return len(t.Answer.Attempts) + 1 }

// TraceStore keeps the latest traces in memory, up to a total number of attempts.
// Half of the capacity is reserved for ordinary traces, so that many of them do
// not evict those with refusals, partial answers, retries and hedges. The
// traces are lost when the daemon ends; the daemon's log also has one line for
// each request.
type TraceStore struct {
	mutex    *ramp.Mutex
	traces   map[string]Trace // by query id
	ordinary evictionQueue
	notable  evictionQueue
}

// evictionQueue holds the ids of traces of one kind in the order of their
// eviction.
type evictionQueue struct {
	capacity int      // upper bound of size
	size     int      // sum of the sizes of the traces in the queue
	ids      []string // query ids, oldest first
}

// NewTraceStore returns an empty store with a capacity for the given number of
// attempts.
func NewTraceStore(attempts int) *TraceStore {
	return &TraceStore{
		mutex:    ramp.NewMutex(ramp.RankReports),
		traces:   make(map[string]Trace),
		ordinary: evictionQueue{capacity: attempts / 2},
		notable:  evictionQueue{capacity: attempts - attempts/2},
	}
}

// Observe returns a function for the Observe field of [Service] that stores the
// trace of each request and then calls next.
func (s *TraceStore) Observe(
	clock ramp.Clock, next func(ramp.Query, ramp.Allowance, ramp.Answer, error),
) func(ramp.Query, ramp.Allowance, ramp.Answer, error) {
	return func(q ramp.Query, a ramp.Allowance, answer ramp.Answer, err error) {
		s.Add(newTrace(q, answer, err, clock.Now()))
		next(q, a, answer, err)
	}
}

// newTrace returns the trace of a request without its body and hits, which are
// large and may be confidential.
func newTrace(q ramp.Query, answer ramp.Answer, err error, now time.Time) Trace {
	q.Body = ""
	trace := Trace{Query: q, Answer: answer.WithHits(nil).WithAttempts(answer.Attempts), Ended: now}
	_ = errors.As(err, &trace.Refused) // stays nil without an error
	for i := range trace.Answer.Attempts {
		trace.Answer.Attempts[i].Query = ramp.Query{}
	}
	return trace
}

// Add stores a trace and evicts the oldest ones of the same kind to make room.
// It ignores a trace that is larger than the capacity for its kind, and one
// whose request already has a trace.
func (s *TraceStore) Add(t Trace) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queue := &s.notable
	if t.ordinary() {
		queue = &s.ordinary
	}
	if _, ok := s.traces[t.Query.ID]; ok || t.size() > queue.capacity {
		return
	}
	for queue.size+t.size() > queue.capacity {
		oldest := queue.ids[0]
		queue.ids = queue.ids[1:]
		queue.size -= s.traces[oldest].size()
		delete(s.traces, oldest)
	}
	s.traces[t.Query.ID] = t
	queue.ids = append(queue.ids, t.Query.ID)
	queue.size += t.size()
}

// Find returns the trace of the request with the given id, or reports false
// when there is none or it was evicted.
func (s *TraceStore) Find(id string) (Trace, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t, ok := s.traces[id]
	return t, ok
}
