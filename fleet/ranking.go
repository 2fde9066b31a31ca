package fleet

import (
	"cmp"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// majorityWindow is the age above which a contact with a member no longer counts towards
// the majority. It is shorter than [leaseTTL], so that a daemon that is cut off knows this
// before the others no longer count it as a member.
const majorityWindow = 4 * time.Second

// failureWindow is the age above which a failed call no longer counts. It is longer than
// [majorityWindow], since a daemon calls members that do not answer less often than others: a
// daemon that was cut off with a third of the fleet called few but these, and estimated that it
// had a majority. Gossip asks one silent member in each period.
const failureWindow = 10 * time.Second

// rankedMember is a member with its weight for a key.
type rankedMember struct {
	ramp.RankedDaemon
	weight uint64
}

// Ranked implements [ramp.DaemonRanker].
func (m *Members) Ranked(key string, count int) []ramp.RankedDaemon {
	now := m.clock.Now()
	hash := ramp.HashKey(key)
	// Requests ask for a few of up to thousands of members, so only those are kept.
	best := make([]rankedMember, 0, min(count, maxRankedMembers)+1)
	m.members.Each(func(incarnation string, other member) bool {
		weight := mixHashes(hash, other.hash)
		if len(best) > 0 && weight < best[len(best)-1].weight && staying(best) >= count {
			return true
		}
		ranked := rankedMember{
			RankedDaemon: ramp.RankedDaemon{
				Daemon: other.daemon, Unresponsive: incarnation != m.self && other.silentRecently(now),
			},
			weight: weight,
		}
		at, _ := slices.BinarySearchFunc(best, ranked, compareRanked)
		best = slices.Insert(best, at, ranked)
		for last := len(best) - 1; last >= count && staying(best[:last]) >= count; last-- {
			best = best[:last]
		}
		return true
	})
	ranked := make([]ramp.RankedDaemon, len(best))
	for i := range best {
		ranked[i] = best[i].RankedDaemon
	}
	return ranked
}

// maxRankedMembers is the number of members for which memory is reserved.
const maxRankedMembers = 8

// compareRanked orders members by descending weight. Equal weights are possible, since
// incarnations are hashed to 32 bits.
func compareRanked(a, b rankedMember) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Incarnation, b.Incarnation))
}

// staying returns how many of the members are not leaving.
func staying(members []rankedMember) int {
	n := 0
	for i := range members {
		if !members[i].Leaving {
			n++
		}
	}
	return n
}

// silentRecently reports whether gossip with the member failed since it was last seen and
// within [maxDelegateBackoff].
func (m member) silentRecently(now time.Time) bool {
	return !m.silentAt.IsZero() && now.Sub(m.silentAt) < maxDelegateBackoff
}

// ChangedAt implements [ramp.DaemonRanker].
func (m *Members) ChangedAt() time.Time {
	if elapsed := m.changedAt.Load(); elapsed > 0 {
		return m.created.Add(time.Duration(elapsed))
	}
	return time.Time{}
}

// reach counts the members of a failure domain and the outcomes of recent calls to them.
type reach struct{ members, answered, failed int }

// HasMajority implements [ramp.DaemonRanker]. Calls are not spread evenly over the failure
// domains, so the members that answer are estimated for each domain. Without a recent call
// to a domain, its members count as reachable.
func (m *Members) HasMajority() bool {
	now := m.clock.Now()
	domains := make(map[string]reach)
	m.members.Each(func(incarnation string, other member) bool {
		if incarnation == m.self {
			return true
		}
		r := domains[other.daemon.Domain]
		r.members++
		switch age := now.Sub(other.calledAt); {
		case other.calledAt.IsZero():
		case other.answered && age < majorityWindow:
			r.answered++
		case !other.answered && age < failureWindow && !other.lastSeen.After(other.calledAt):
			r.failed++
		}
		domains[other.daemon.Domain] = r
		return true
	})
	reachable, members := 1.0, 1
	for _, r := range domains {
		members += r.members
		share := 1.0
		if calls := r.answered + r.failed; calls > 0 {
			share = float64(r.answered) / float64(calls)
		}
		reachable += share * float64(r.members)
	}
	return 2*reachable > float64(members)
}
