package fleet

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of [replyBudget].
const (
	// replyShare is the share of the link that changes for other daemons may fill. The rest
	// is for the daemon's own reads of the store and for callers.
	replyShare = 0.5
	// entryOverhead is the size of an encoded entry beyond its key and value, in bytes.
	entryOverhead = 16
	bitsPerByte   = 8
	megabit       = 1e6
)

// replyBudget bounds the changes that a daemon sends to others to what its link can carry
// before they give up. Without it, a weak daemon that many ask at once fills its link with
// replies of which none arrives in time.
type replyBudget struct {
	clock ramp.Clock
	rate  float64                           // bytes per second; 0 for no bound
	state *ramp.Table[string, replyCredits] // a single entry under the key ""
}

// newReplyBudget returns the budget of a daemon whose link has the given capacity in megabits
// per second, 0 if that is not known.
func newReplyBudget(link float64, clock ramp.Clock) *replyBudget {
	return &replyBudget{
		clock: clock, rate: replyShare * link * megabit / bitsPerByte,
		state: ramp.NewTable[string, replyCredits](ramp.RankDaemons),
	}
}

// take reports whether the change may be sent now, and takes its size from the budget. A
// change that is larger than the whole budget may be sent when nothing else was lately.
func (b *replyBudget) take(c ramp.EntryChange) bool {
	if b.rate <= 0 || len(c.Entries) == 0 {
		return true
	}
	size := 0
	for _, e := range c.Entries {
		size += len(e.Key) + len(e.Value) + entryOverhead
	}
	now, limit, taken := b.clock.Now(), b.rate*observerGossipTimeout.Seconds(), false
	b.state.Update("", func(s replyCredits) replyCredits {
		s = s.WithRefill(now, b.rate, limit)
		if taken = s.free >= min(float64(size), limit); taken {
			s.free -= float64(size)
		}
		return s
	})
	return taken
}

// replyCredits is what is left of a budget. It is an immutable value.
type replyCredits struct {
	free float64   // bytes; negative after a change that was larger than the budget
	at   time.Time // of the last refill; zero for a budget that is full
}

// WithRefill returns the credits at a later time, at most limit.
func (s replyCredits) WithRefill(now time.Time, rate, limit float64) replyCredits {
	if s.at.IsZero() {
		s.free = limit
	} else {
		s.free = min(limit, s.free+rate*now.Sub(s.at).Seconds())
	}
	s.at = now
	return s
}
