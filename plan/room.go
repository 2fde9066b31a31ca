package plan

import (
	"math"
	"time"
)

// Parameters of the limits by room. Those of [Limit] hold too, unless they are replaced
// here.
const (
	// presentShare is the share of the admitted sub-requests from which classes count as
	// present. It is what starved flows get at most, while more urgent ones fill the rest.
	presentShare = 0.2
	// admittedDecay is the part of the admitted sub-requests that counts in the next window.
	// One window may have a few requests of one class only.
	admittedDecay = 0.5
	rateSmoothing = 0.3 // weight of a window in the mean rate
	// busyFactor is the multiple of what is in progress without waiting to which a limit
	// falls at once when most requests lacked room. Requests of a surge last for seconds
	// only, so steps by half take too long.
	busyFactor = 1.5
	// maxLackingShare is the share of requests or attempts without room above which limits
	// shrink. Urgent requests must be served in time 95 times in 100, whoever floods.
	maxLackingShare = 0.03
	// minCalmShort and minShort are the numbers of requests without room in about a second,
	// and of refused attempts in a window, from which they count, in calm and within
	// overloadTime after a limit shrank. A few may be due to slow replicas.
	minCalmShort = 2.5
	minShort     = 1.5
	memoryTime   = time.Second
	// overloadTime is the time since a limit shrank for which a single request without room
	// counts against the tenants that were served much more than others.
	overloadTime = 2 * time.Second
	maxWindows   = 8.0 // multiples of windowTime that one window counts for
	// roomGrowth is the part of a request by which a limit grows for each windowTime since it
	// shrank, so that it passes one request after about a second and ten after three.
	roomGrowth = 0.0625
)

// class is a group of ranks with a limit of their own. Starved flows belong to the most
// urgent one.
type class int

// The classes, the most urgent one first.
const (
	urgentClass class = iota // rank 0
	middleClass              // rank 1
	lowestClass              // all other ranks
	classes
)

// classOf returns the class of an urgency.
func classOf(urgency int) class { return class(min(max(urgency, int(urgentClass)), int(lowestClass))) }

// signs are what a request that ended shows of the room at replicas. It is an
// immutable value.
type signs struct {
	cost     int  // of the request, in sub-requests; 0 if nothing is known
	attempts int  // attempts that were sent
	refused  int  // of these, those that replicas refused as full
	short    bool // too many parts found no room, or the answer was late for lack of room
	inTime   bool // answered within the objective
}

// roomLimit bounds the sub-requests that this daemon has in progress in a pool, for each
// class: a request may start while all that is in progress is within the limit of its
// class. It handles overload of replicas that many daemons share. It shrinks only when
// requests lack room, and then for the least urgent class that is present, and those below
// it; hold times are ignored, because slow replicas and long requests lengthen them too.
// It is an immutable value.
type roomLimit struct {
	sizes   [classes]float64 // in sub-requests, from 1 to ceiling
	beyond  float64          // limit for flows that were served much more than others, in addition to that of their class
	ceiling float64          // at least 1
	calm    [classes]float64 // time since the limit of the class last shrank, in multiples of windowTime
	// pastEnded and pastShort count the requests of earlier windows since a limit last
	// shrank like ended and short, decayed by memoryTime.
	pastEnded, pastShort float64
	cutAt                time.Time // when a limit last shrank by more than maxLackingShare; zero for never
	rate                 float64   // sub-requests per second of requests with room, over the last windows; 0 for none yet
	hold                 holdTime  // of requests

	windowStart time.Time        // start of the current window
	ended       int              // requests that ended in the current window
	short       int              // of these, those that lacked room
	attempts    int              // sent by requests that ended in the current window
	refused     int              // of the attempts, those that replicas refused as full
	largest     int              // greatest cost of a request that ended in the current window
	freshShort  int              // of short, those admitted since cutAt
	cost        int              // of ended, those with room, in sub-requests
	peak        float64          // most sub-requests in progress in the current window
	admitted    [classes]float64 // sub-requests admitted, with those of earlier windows decayed
	blocked     [classes]bool    // a request did not fit in the current window
}

// newRoomLimit returns limits that start at the ceiling: requests are refused only after
// they lacked room.
func newRoomLimit(ceiling int) roomLimit {
	l := roomLimit{ceiling: max(1, float64(ceiling)), beyond: max(1, float64(ceiling))}
	for c := range l.sizes {
		l.sizes[c] = l.ceiling
	}
	return l
}

// withAdmitted returns the limit after a request of the class was admitted.
func (l roomLimit) withAdmitted(c class, cost, running int) roomLimit {
	l.admitted[c] += float64(cost)
	l.peak = max(l.peak, float64(running))
	return l
}

// withBlocked returns the limit after a request of the class did not fit.
func (l roomLimit) withBlocked(c class) roomLimit {
	l.blocked[c] = true
	return l
}

// withSigns returns the limit after a request ended that was admitted at the given time.
func (l roomLimit) withSigns(s signs, admitted, now time.Time) roomLimit {
	if s.cost == 0 {
		return l
	}
	l.ended++
	if !s.short {
		l.cost += s.cost
	}
	l.hold = l.hold.with(max(1, now.Sub(admitted)))
	if s.short && !admitted.Before(l.cutAt) {
		l.freshShort++
	}
	l.attempts += s.attempts
	l.refused += s.refused
	if s.short {
		l.short++
	}
	l.largest = max(l.largest, s.cost)
	return l
}

// withAdjustment returns the limit adjusted by the current window, if that has lasted for
// windowTime and has minQueries requests.
func (l roomLimit) withAdjustment(now time.Time) roomLimit {
	if now.Sub(l.windowStart) < windowTime || l.ended < minQueries {
		return l
	}
	windows := min(maxWindows, float64(now.Sub(l.windowStart))/float64(windowTime))
	l = l.withRate(now)
	overloaded := !l.cutAt.IsZero() && now.Sub(l.cutAt) < overloadTime
	lacking, yields := l.lacking(overloaded), l.yielding()
	if yields == urgentClass && l.freshShort == 0 {
		yields = middleClass // the requests that lacked room were admitted before others yielded
	}
	cutAt := l.cutAt
	for c := range classes {
		size := l.sizes[c]
		l.calm[c] += windows
		switch {
		case lacking > maxLackingShare && c >= yields:
			l.sizes[c], l.calm[c] = l.cut(size, lacking), 0
			if l.sizes[c] < size*(1-maxLackingShare) {
				cutAt = now
			}
		case lacking <= maxLackingShare && (l.blocked[c] || l.peak >= size*inUseShare):
			step := max(size*growthShare, roomGrowth*windows*l.calm[c]*float64(l.largest))
			l.sizes[c] = min(l.ceiling, size+step)
		}
	}
	if doubt := max(lacking, l.doubt()); doubt > maxLackingShare && (lacking > maxLackingShare || overloaded) {
		l.beyond = l.cut(l.beyond, doubt)
	} else if l.peak >= l.beyond*inUseShare {
		l.beyond = min(l.ceiling, l.beyond+max(l.beyond*growthShare, roomGrowth*windows*float64(l.largest)))
	}
	next := roomLimit{
		sizes: l.sizes, beyond: l.beyond, ceiling: l.ceiling, calm: l.calm, cutAt: cutAt, rate: l.rate,
		hold:        l.hold.nextWindow(),
		windowStart: now,
	}
	if lacking <= maxLackingShare {
		kept := math.Exp(-float64(now.Sub(l.windowStart)) / float64(memoryTime))
		next.pastEnded, next.pastShort = (l.pastEnded+float64(l.ended))*kept, (l.pastShort+float64(l.short))*kept
	}
	for c, n := range l.admitted {
		next.admitted[c] = n * admittedDecay
	}
	return next
}

// withRate returns the limit with the rate of the current window in its mean.
func (l roomLimit) withRate(now time.Time) roomLimit {
	sample := float64(l.cost) / now.Sub(l.windowStart).Seconds()
	if l.rate == 0 {
		l.rate = sample
	}
	l.rate += (sample - l.rate) * rateSmoothing
	return l
}

// lacking returns the share of the attempts or requests that lacked room, whichever is
// greater, and 0 if they were too few to count.
func (l roomLimit) lacking(overloaded bool) float64 {
	share, enough := 0.0, minCalmShort
	if overloaded {
		enough = minShort
	}
	if l.attempts >= minAttempts && float64(l.refused) >= enough {
		share = float64(l.refused) / float64(l.attempts)
	}
	if float64(l.short)+l.pastShort >= enough {
		share = max(share, l.doubt())
	}
	return share
}

// doubt returns the share of the requests of about a second that lacked room, and 0 if none
// did in the current window. It may be due to a single request.
func (l roomLimit) doubt() float64 {
	if l.short == 0 {
		return 0
	}
	return (float64(l.short) + l.pastShort) / (float64(l.ended) + l.pastEnded)
}

// cut returns the limit after the given share lacked room. It does not fall below what is
// in progress at the present rate if no request waits for another, and falls to a little
// above that at once if most lacked room.
func (l roomLimit) cut(size, lacking float64) float64 {
	busy := l.rate * l.hold.reference().Seconds()
	reduced := min(size, l.peak) * min(refusalFactor, max(minFactor, 1-lacking))
	if lacking > minFactor {
		reduced = min(reduced, max(busyFactor*busy, float64(l.largest)))
	}
	return max(1, min(size, max(reduced, busy)))
}

// yielding returns the most urgent of the classes that yield: the fewest, from the least
// urgent one on, that are present together.
func (l roomLimit) yielding() class {
	total, below := 0.0, 0.0
	for _, n := range l.admitted {
		total += n
	}
	for c := lowestClass; c > urgentClass; c-- {
		if below += l.admitted[c]; below > presentShare*total {
			return c
		}
	}
	return urgentClass
}
