package plan

import "time"

// windowSlots is the number of slots into which a window is divided to count grants. A grant
// counts for up to one slot longer than the window, which costs a tenant that uses its whole
// allowance up to one part in windowSlots of it.
const windowSlots = 25

// recentGrants counts the tokens that were granted in the last window. It is an immutable
// value.
type recentGrants struct {
	slots [windowSlots + 1]float64 // tokens, by age; the first slot is in progress
	since time.Time                // when the first slot began; zero before the first use
}

// newRecentGrants returns grants of the given number of tokens that are spread evenly over
// the slots.
func newRecentGrants(tokens float64, now time.Time) recentGrants {
	g := recentGrants{since: now}
	for i := range g.slots {
		g.slots[i] = max(0, tokens) / float64(len(g.slots))
	}
	return g
}

// advanced returns the grants without those that are older than the window.
func (g recentGrants) advanced(window time.Duration, now time.Time) recentGrants {
	slot := window / windowSlots
	passed := int(now.Sub(g.since) / slot)
	if passed <= 0 {
		return g
	}
	next := recentGrants{since: g.since.Add(time.Duration(passed) * slot)}
	if passed < len(g.slots) {
		copy(next.slots[passed:], g.slots[:])
	}
	return next
}

// sum returns the tokens that were granted in the last window.
func (g recentGrants) sum() float64 {
	sum := 0.0
	for _, tokens := range g.slots {
		sum += tokens
	}
	return sum
}

// withGranted returns the grants with further tokens that were granted now.
func (g recentGrants) withGranted(tokens float64) recentGrants {
	g.slots[0] += tokens
	return g
}

// withReturned returns the grants without the newest ones of the given number of tokens.
func (g recentGrants) withReturned(tokens float64) recentGrants {
	for i := range g.slots {
		taken := min(tokens, g.slots[i])
		g.slots[i] -= taken
		tokens -= taken
	}
	return g
}

// delay returns the time until the given number of tokens are older than the window.
func (g recentGrants) delay(tokens float64, window time.Duration, now time.Time) time.Duration {
	slot := window / windowSlots
	for i := len(g.slots) - 1; i >= 0; i-- {
		tokens -= g.slots[i]
		if tokens <= tokenRounding {
			return max(0, g.since.Add(time.Duration(len(g.slots)-i)*slot).Sub(now))
		}
	}
	return window
}
