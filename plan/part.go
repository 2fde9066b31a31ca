package plan

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times and bounds of the parts that daemons have in a plan's rate.
const (
	reviewTime  = time.Second            // between two reviews of the parts
	freshTime   = 3 * time.Second        // a daemon not heard of for longer counts as using its part
	sampleTime  = 500 * time.Millisecond // shortest time that a demand is measured over
	repayTime   = 5 * time.Second        // a whole plan's rate over this time is the most debt counted
	burstTime   = 250 * time.Millisecond // of a part that can be saved up
	headroom    = 1.1                    // demand that a daemon keeps for itself, by its last demand
	steadyTicks = 3                      // reviews after which a higher demand is known to the others
	weightRange = 20                     // bound on the change of a plan's weight by where its demand is
	unknownSize = 16                     // daemons assumed while no membership is known
	maxUsages   = 64                     // plans in one piece of news
	maxHeard    = 512                    // daemons whose demands are kept
)

// demand is what a plan asked of one daemon. It is an immutable value.
type demand struct {
	at     time.Duration // age of the incarnation at the newest counters
	wanted uint64        // the newest counters
	served uint64
	want   float64 // sub-requests a second over the last sample
	serve  float64
}

// With takes in newer counters. Older and repeated ones change nothing. The
// first ones give the mean since the incarnation started.
func (d demand) With(u ramp.Usage) demand {
	elapsed := u.Uptime - d.at
	if elapsed < sampleTime || u.Requested < d.wanted || u.Admitted < d.served {
		return d
	}
	d.want = float64(u.Requested-d.wanted) / elapsed.Seconds()
	d.serve = float64(u.Admitted-d.served) / elapsed.Seconds()
	d.at, d.wanted, d.served = u.Uptime, u.Requested, u.Admitted
	return d
}

// heard is what another daemon last told of its plans.
type heard struct {
	seen    time.Time         // when newer counters last came
	at      time.Duration     // age of the sender's incarnation then
	demands map[string]demand // by plan
}

// fleetView sums up, for one plan, what the daemons that were heard of want.
type fleetView struct {
	want   float64 // sub-requests a second asked for
	serve  float64 // sub-requests a second served
	unused float64 // of the daemons' parts
	excess float64 // asked for beyond the daemons' parts
}

// with adds a daemon whose part of the rate is part.
func (v fleetView) with(d demand, part float64) fleetView {
	v.want += d.want
	v.serve += d.serve
	v.unused += max(0, part-headroom*d.want)
	v.excess += max(0, headroom*d.want-part)
	return v
}

// part is what this daemon may serve of one plan. It is an immutable value.
type part struct {
	wanted  uint64               // sub-requests asked for on this daemon
	served  uint64               // of those, admitted
	own     demand               // of this daemon, sampled from the counters
	history [steadyTicks]float64 // own demand at the last reviews
	weight  float64              // in the queue, before it is divided among customers
	rate    float64              // sub-requests a second on this daemon; 0 for no bound
	debt    float64              // sub-requests that the fleet served beyond the plan's rate
	tokens  float64              // sub-requests that may start now; below 0 after a broad query
	filled  time.Time            // when tokens were last added
}

// WithWanted returns the part after cost sub-requests were asked for.
func (p part) WithWanted(cost int) part {
	p.wanted += uint64(cost)
	return p
}

// usage returns the counters at the given age of the incarnation.
func (p part) usage(plan string, age time.Duration) ramp.Usage {
	return ramp.Usage{Plan: plan, Uptime: age, Requested: p.wanted, Admitted: p.served}
}

// steady returns the lowest own demand of the last reviews. A rise counts only
// when the other daemons have had the time to hear of it, a fall at once.
func (p part) steady() float64 {
	lowest := p.history[0]
	for _, d := range p.history[1:] {
		lowest = min(lowest, d)
	}
	return lowest
}

// WithReview returns the part under what is known of the fleet. Each of the
// daemons has an equal part of the plan's rate. What the daemons that were
// heard of leave unused goes to those that want more, in proportion. Daemons
// that were not heard of count as using all of theirs, so a cut makes the sum
// smaller and not larger. What the fleet served beyond the rate is paid back.
func (p part) WithReview(a ramp.Allowance, others fleetView, daemons int, elapsed time.Duration) part {
	copy(p.history[1:], p.history[:steadyTicks-1])
	p.history[0] = p.own.want
	p.weight = float64(a.Share) * localWeight(p.own.want, others.want, daemons)
	if a.Rate == 0 {
		p.rate, p.debt = 0, 0
		return p
	}
	whole := float64(a.Rate)
	equal := whole / float64(daemons)
	wish := max(0, headroom*p.steady()-equal)
	lent := 0.0
	if wish > 0 {
		lent = wish * min(1, others.unused/(others.excess+wish))
	}
	bound := whole * repayTime.Seconds()
	over := (others.serve + p.own.serve - whole) * elapsed.Seconds()
	p.debt = min(max(0, p.debt+over), bound)
	p.rate = (equal + lent) * (1 - p.debt/bound/2)
	return p
}

// localWeight returns the part of a plan's weight that applies here, relative
// to a plan whose demand is spread evenly over the daemons.
func localWeight(own, others float64, daemons int) float64 {
	if own+others <= 0 {
		return 1
	}
	weight := float64(daemons) * own / (own + others)
	return min(max(weight, 1.0/weightRange), weightRange)
}

// WithTokens adds the tokens earned until now.
func (p part) WithTokens(now time.Time) part {
	if p.rate == 0 {
		return p
	}
	if p.filled.IsZero() {
		p.tokens = p.rate * burstTime.Seconds()
	} else if elapsed := now.Sub(p.filled); elapsed > 0 {
		p.tokens = min(p.tokens+p.rate*elapsed.Seconds(), p.rate*burstTime.Seconds())
	}
	p.filled = now
	return p
}

// WithServed returns the part after cost sub-requests were admitted. A query
// may start on any token and leaves a debt of tokens, so that a broad query
// runs under a small rate too.
func (p part) WithServed(cost int) part {
	p.served += uint64(cost)
	if p.rate > 0 {
		p.tokens -= float64(cost)
	}
	return p
}

// open reports whether a query of the plan may start under its rate.
func (p part) open() bool { return p.rate == 0 || p.tokens > 0 }

// opensAfter returns the time until cost further sub-requests may have started.
func (p part) opensAfter(cost float64) time.Duration {
	if p.rate == 0 || p.tokens > cost {
		return 0
	}
	return time.Duration((cost-p.tokens)/p.rate*float64(time.Second)) + time.Millisecond
}
