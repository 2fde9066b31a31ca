package sycamoreramp

import (
	"fmt"
	"time"
)

// Reason is the cause of a refused request or a failed operation.
type Reason string

// The reasons given to callers and operators.
const (
	ReasonKey      Reason = "key"      // the caller's key is unknown
	ReasonService  Reason = "service"  // the plan may not use the service
	ReasonShare    Reason = "share"    // the plan's share is used up
	ReasonLoad     Reason = "load"     // the daemon sheds load
	ReasonLists    Reason = "lists"    // no lists are known, or they may be stale
	ReasonSnapshot Reason = "snapshot" // no complete index version is known
	ReasonReplica  Reason = "replica"  // no replica accepted the request
	ReasonDeadline Reason = "deadline" // the deadline passed
	ReasonLeaving  Reason = "leaving"  // the daemon has shut down
	ReasonTicket   Reason = "ticket"   // the order's ticket is unknown or was issued for another order
	ReasonIssuer   Reason = "issuer"   // the ticket's issuer does not answer
	ReasonRequest  Reason = "request"  // the request is malformed
	ReasonRoutes   Reason = "routes"   // no configuration is known yet
	ReasonRoute    Reason = "route"    // no route matches
	ReasonSize     Reason = "size"     // the request is larger than the configuration allows
	ReasonPaused   Reason = "paused"   // the daemon was paused, so the request may have waited for any time
	ReasonCaller   Reason = "caller"   // the caller closed the connection
	ReasonCrash    Reason = "crash"    // the request ended the replicas that ran it

	ReasonUnconfirmed Reason = "unconfirmed" // the configuration may be too old to authorise a key
	ReasonAllowance   Reason = "allowance"   // the tenant's allowance is used up
)

// RefusedError is a refusal of a caller's request.
type RefusedError struct {
	Reason     Reason        // cause
	Ran        Ran           // whether the request ran in any attempt
	Detail     string        // for people; may be empty
	RetryAfter time.Duration // estimated time until a retry may be admitted; 0 if retrying is useless
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: reason=%s ran=%s %s", e.Reason, e.Ran, e.Detail)
}

// AttemptError is a failed attempt at a replica.
type AttemptError struct {
	Outcome Outcome // never Merged or Pending
	Sent    bool    // a byte of the request may have reached the backend server
	Cause   error   // may be nil

	NotRun        bool     // the backend server stated that the request did not run
	Crashed       bool     // the backend server ended: it closed the connection, and accepts none since
	NewConnection bool     // a new connection was opened for it
	Signals       *Signals // what the replica said of itself; nil without a response of it
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt failed: outcome=%s sent=%t: %v", e.Outcome, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// MismatchError reports a reply that belongs to another attempt.
type MismatchError struct {
	Field string // name of the field that differs
	Want  string // value of the attempt; empty for numbers
	Got   string // value of the reply; empty for numbers
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("reply does not match the attempt: field=%s want=%q got=%q", e.Field, e.Want, e.Got)
}

// ListError reports an entry of the two lists that violates an invariant.
type ListError struct {
	List   string // "customers" or "plans"
	Entry  string // name of the entry
	Reason string // the violated invariant
}

// Error implements error.
func (e *ListError) Error() string {
	return fmt.Sprintf("list %s: entry %q %s", e.List, e.Entry, e.Reason)
}

// ConflictError reports a compare-and-swap whose entry had another revision.
type ConflictError struct {
	Key      string // key of the entry
	Revision uint64 // its current revision; 0 if it does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: key=%s revision=%d", e.Key, e.Revision)
}

// StoreError reports a call to the platform without a usable reply. The call may
// have taken effect.
type StoreError struct {
	Call  string // name of the call
	Cause error
}

// Error implements error.
func (e *StoreError) Error() string {
	return fmt.Sprintf("platform call failed: call=%s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// NotFoundError reports a key without an entry, an expired lease, an archived version
// that is no longer kept, or changes that the store has discarded.
type NotFoundError struct {
	Key string // key, lease, version or prefix that was looked up
}

// Error implements error.
func (e *NotFoundError) Error() string { return "not found: key=" + e.Key }

// PeerError reports a call to another daemon without a usable reply.
type PeerError struct {
	Daemon string // id of the daemon
	Sent   bool   // the call may have reached it
	Cause  error
}

// Error implements error.
func (e *PeerError) Error() string {
	return fmt.Sprintf("call to daemon %s failed: sent=%t: %v", e.Daemon, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// LockOrderError reports a lock taken out of order. It is the value of a panic in
// builds with the lockorder tag.
type LockOrderError struct {
	Held Rank // rank of a lock that the goroutine holds
	Want Rank // rank of the requested lock; not above Held
}

// Error implements error.
func (e *LockOrderError) Error() string {
	return fmt.Sprintf("lock order violated: held=%d want=%d", e.Held, e.Want)
}
