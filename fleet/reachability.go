package fleet

import (
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Limits of counting reachable members.
const (
	contactWindow    = 10 * time.Second // age above which a contact no longer counts
	minContactSample = 20               // contacts required before a larger fleet is judged by a sample
)

// contact is the last call to another member. It is an immutable value.
type contact struct {
	at       time.Time // when the call started
	answered bool
}

// Reachability tracks which of the other members answered recently. A fleet of more
// than [minContactSample] other members is judged by a sample.
type Reachability struct {
	contacts   *ramp.Table[string, contact] // by incarnation, within contactWindow
	peers      atomic.Int64                 // number of other members
	peersKnown atomic.Bool                  // whether peers has been set
}

// NewReachability returns a tracker without contacts whose number of peers is not
// known.
func NewReachability() *Reachability {
	return &Reachability{contacts: ramp.NewTable[string, contact](ramp.RankDaemons)}
}

// SetPeers sets the number of other members.
func (r *Reachability) SetPeers(peers int) {
	r.peers.Store(int64(peers))
	r.peersKnown.Store(true)
}

// HasNoPeers reports whether the number of other members is known to be 0.
func (r *Reachability) HasNoPeers() bool { return r.peersKnown.Load() && r.peers.Load() == 0 }

// Record records whether a call to a member, started at the given time, was
// answered.
func (r *Reachability) Record(incarnation string, answered bool, started time.Time) {
	r.contacts.DeleteFunc(func(_ string, c contact) bool { return started.Sub(c.at) > contactWindow })
	r.contacts.Put(incarnation, contact{at: started, answered: answered})
}

// Count returns the number of other members that answered recently, and the
// number that it is out of: all other members, or in a large fleet those that
// were called, and at least [minContactSample].
func (r *Reachability) Count(now time.Time) (reached, peers int) {
	tried := 0
	r.contacts.Each(func(_ string, c contact) bool {
		if now.Sub(c.at) > contactWindow {
			return true
		}
		tried++
		if c.answered {
			reached++
		}
		return true
	})
	peers = int(r.peers.Load())
	if peers > minContactSample {
		peers = max(tried, minContactSample)
	}
	return min(reached, peers), peers
}
