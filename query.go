package sycamoreramp

import (
	"cmp"
	"slices"
	"time"
)

// Operation is the kind of a caller's request.
type Operation string

// The operations a caller can ask for.
const (
	Search Operation = "search" // query to every shard of a service; idempotent
	Read   Operation = "read"   // query to the shard that owns a key; idempotent
	Order  Operation = "order"  // request with a side effect; runs at most once
)

// Idempotent reports whether the operation may be sent more than once.
func (o Operation) Idempotent() bool { return o == Search || o == Read }

// Query is an authenticated request of a caller.
type Query struct {
	ID        string    // unique over all daemons and restarts
	Customer  string    // name of an existing customer
	Plan      string    // the customer's plan under the lists in force
	Service   string    // a service that the plan may use
	Operation Operation // determines which retries are allowed
	Key       string    // set for Read and Order, empty for Search
	Body      string    // forwarded to the backend servers unchanged
	Deadline  time.Time // time by which the answer must be sent
}

// WithDeadline returns the query with another deadline.
func (q Query) WithDeadline(deadline time.Time) Query {
	q.Deadline = deadline
	return q
}

// Ran is whether a request ran on a backend server.
type Ran string

// The values of [Ran]. NotRun is given only if no byte of the request can have
// reached a backend server through any daemon, or if each backend server that
// a message may have reached stated that it did not run it.
const (
	NotRun     Ran = "no"
	HasRun     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Hit is one record of an answer.
type Hit struct {
	Key   string // the record's key; its hash lies in the shard's range
	Value string // the record as the backend server sent it
}

// Answer is what a caller gets for a query.
type Answer struct {
	ID           string        // the query's id
	Ran          Ran           // HasRun unless the query was an order without a reply
	ListsVersion uint64        // version of the lists under which the query was admitted
	IndexVersion uint64        // index version of every part of the answer
	Requested    KeyRange      // the key range that a complete answer covers
	Coverage     Coverage      // the key ranges whose hits are in the answer
	Hits         []Hit         // sorted by key; never modified
	Attempts     []Attempt     // in order of their start; never modified
	Elapsed      time.Duration // from the request's arrival to the merged answer, including queueing
}

// WithHits returns the answer with its hits sorted by key.
func (a Answer) WithHits(hits []Hit) Answer {
	a.Hits = slices.Clone(hits)
	slices.SortStableFunc(a.Hits, func(x, y Hit) int { return cmp.Compare(x.Key, y.Key) })
	return a
}

// WithAttempts returns the answer with a copy of the attempts.
func (a Answer) WithAttempts(attempts []Attempt) Answer {
	a.Attempts = slices.Clone(attempts)
	return a
}

// Complete reports whether the answer covers the requested range.
func (a Answer) Complete() bool { return a.Coverage.Covers(a.Requested) }

// AttemptKind is the reason for starting an attempt.
type AttemptKind string

// The kinds of attempts.
const (
	First AttemptKind = "first"
	Retry AttemptKind = "retry"
	Hedge AttemptKind = "hedge"
)

// Outcome is the result of an attempt.
type Outcome string

// The outcomes of an attempt.
const (
	Pending        Outcome = "pending"     // no reply yet
	Merged         Outcome = "merged"      // its reply is in the answer
	Late           Outcome = "late"        // its reply came after another one was merged
	Shed           Outcome = "shed"        // the backend server refused it under load
	Draining       Outcome = "drain"       // the backend server is leaving
	VersionNotHeld Outcome = "version"     // the replica no longer holds the snapshot
	ShardNotHeld   Outcome = "shard"       // the replica does not hold the shard
	Unreachable    Outcome = "unreachable" // no connection, or the connection broke
	Truncated      Outcome = "truncated"   // the body ended early
	Mismatched     Outcome = "mismatch"    // the reply belongs to another attempt
	Expired        Outcome = "expired"     // the deadline passed
	Cancelled      Outcome = "cancelled"   // cancelled before it ended
	Failed         Outcome = "failed"      // any other error of the backend server
	NotStarted     Outcome = "unstarted"   // no worker or no replica was free
	Misdirected    Outcome = "misdirected" // another backend server has the address
)

// Attempt is one request to one replica.
type Attempt struct {
	Query         Query         // the query it belongs to
	Number        int           // from 0, unique within the query
	Kind          AttemptKind   // reason for starting it
	Shard         Shard         // requested shard; its range is the requested range
	IndexVersion  uint64        // requested index version; the same for all attempts of a query
	Replica       Replica       // backend server that it is sent to
	Started       time.Duration // since the query was admitted
	Elapsed       time.Duration // since the attempt started; zero while Pending
	Outcome       Outcome       // Pending until it ended
	Sent          bool          // a byte may have reached the backend server
	NotRun        bool          // the backend server stated that it did not run
	Crashed       bool          // the backend server ended while it had the request
	Delegate      string        // daemon that it was delegated to; "" if this daemon made it
	NewConnection bool          // a new connection was opened for it
	Pick          PickInfo      // how the replica was picked; zero without a [Picker]
	Signals       *Signals      // what the replica said of itself; nil without a response of it
}

// WithOutcome returns the attempt with its outcome.
func (a Attempt) WithOutcome(outcome Outcome, elapsed time.Duration, sent bool) Attempt {
	a.Outcome = outcome
	a.Elapsed = elapsed
	a.Sent = sent
	return a
}

// WithReplica returns the attempt with another replica.
func (a Attempt) WithReplica(r Replica) Attempt {
	a.Replica = r
	return a
}

// Reply is a backend server's reply to an attempt.
type Reply struct {
	Query        string   // id of the query it answers
	Attempt      int      // number of the attempt it answers
	Shard        string   // shard that was searched
	IndexVersion uint64   // index version that was searched
	Range        KeyRange // key range that was searched
	Hits         []Hit    // all hits in that range; never modified

	NewConnection bool // a new connection was opened for it
}

// Check returns a [*MismatchError] unless the reply answers the attempt.
func (r Reply) Check(a Attempt) error {
	switch {
	case r.Query != a.Query.ID:
		return &MismatchError{Field: "query", Want: a.Query.ID, Got: r.Query}
	case r.Attempt != a.Number:
		return &MismatchError{Field: "attempt"}
	case r.Shard != a.Shard.ID:
		return &MismatchError{Field: "shard", Want: a.Shard.ID, Got: r.Shard}
	case r.IndexVersion != a.IndexVersion:
		return &MismatchError{Field: "snapshot"}
	case r.Range != a.Shard.Range:
		return &MismatchError{Field: "range"}
	}
	for _, h := range r.Hits {
		if !a.mayContain(h.Key) {
			return &MismatchError{Field: "hit", Want: a.Query.Key, Got: h.Key}
		}
	}
	return nil
}

// mayContain reports whether a hit with the key can belong to the reply.
func (a Attempt) mayContain(key string) bool {
	if a.Query.Operation != Search {
		return key == a.Query.Key
	}
	return a.Shard.Range.Contains(HashKey(key))
}
