package plan

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of the daemons' quotas of a plan's rate.
const (
	quotaInterval    = time.Second            // between two updates of the quotas
	staleAfter       = 3 * time.Second        // age of counters from which a peer counts as using its whole quota
	minSampleTime    = 500 * time.Millisecond // shortest time over which a demand is sampled
	debtWindow       = 5 * time.Second        // the debt is at most the plan's rate over this time
	burstTime        = 250 * time.Millisecond // the quota's rate over this time is the size of its token bucket
	headroom         = 1.1                    // quota that a daemon keeps for itself, as a factor of its last demand
	historyLength    = 3                      // updates after which the peers have received a higher demand
	maxWeightRatio   = 20                     // bound on the factor for a plan's weight by the locality of its demand
	assumedFleetSize = 16                     // daemons assumed while the membership is unknown
	maxUsages        = 64                     // plans in one message
	maxPeers         = 512                    // peers whose demands are kept
)

// demand is the demand of a plan on one daemon. It is an immutable value.
type demand struct {
	uptime      time.Duration // age of the incarnation at the newest counters
	requested   uint64        // newest counter of sub-requests asked for
	admitted    uint64        // newest counter of sub-requests admitted
	requestRate float64       // sub-requests a second asked for, over the last sample
	admitRate   float64       // sub-requests a second admitted, over the last sample
}

// With returns the demand after newer counters. Older and repeated counters, and
// those that are newer by less than minSampleTime, change nothing. The first
// counters give the mean since the incarnation started.
func (d demand) With(u ramp.Usage) demand {
	elapsed := u.Uptime - d.uptime
	if elapsed < minSampleTime || u.Requested < d.requested || u.Admitted < d.admitted {
		return d
	}
	d.requestRate = float64(u.Requested-d.requested) / elapsed.Seconds()
	d.admitRate = float64(u.Admitted-d.admitted) / elapsed.Seconds()
	d.uptime, d.requested, d.admitted = u.Uptime, u.Requested, u.Admitted
	return d
}

// peerUsage holds the newest counters of another daemon.
type peerUsage struct {
	updated time.Time         // when newer counters were last received
	uptime  time.Duration     // age of the sender's incarnation at those counters
	demands map[string]demand // by plan
}

// fleetDemand is the total demand of the fresh peers on one plan.
type fleetDemand struct {
	requestRate float64 // sub-requests a second asked for
	admitRate   float64 // sub-requests a second admitted
	unused      float64 // sub-requests a second of the peers' equal quotas that they do not need
	excess      float64 // sub-requests a second asked for beyond the peers' equal quotas
}

// with returns the total with a peer added whose equal quota is equalQuota.
func (f fleetDemand) with(d demand, equalQuota float64) fleetDemand {
	f.requestRate += d.requestRate
	f.admitRate += d.admitRate
	f.unused += max(0, equalQuota-headroom*d.requestRate)
	f.excess += max(0, headroom*d.requestRate-equalQuota)
	return f
}

// quota is this daemon's part of the rate of one plan, as a token bucket, and its
// weight in the queues. It is an immutable value.
type quota struct {
	requested uint64                 // sub-requests asked for on this daemon
	admitted  uint64                 // of the sub-requests asked for, those admitted
	own       demand                 // demand on this daemon, sampled from the counters
	history   [historyLength]float64 // own request rate at the last updates, newest first
	weight    float64                // in the queues, before it is divided among the backlogged flows
	rate      float64                // sub-requests a second on this daemon; 0 for no bound
	debt      float64                // sub-requests that the fleet admitted beyond the plan's rate
	tokens    float64                // sub-requests that may start now; below 0 after a query with many sub-requests
	refilled  time.Time              // time of the last refill; zero for none yet
}

// WithRequested returns the quota after cost sub-requests were asked for.
func (p quota) WithRequested(cost int) quota {
	p.requested += uint64(cost)
	return p
}

// usage returns the counters at the given age of the incarnation.
func (p quota) usage(plan string, age time.Duration) ramp.Usage {
	return ramp.Usage{Plan: plan, Uptime: age, Requested: p.requested, Admitted: p.admitted}
}

// sustainedDemand returns the lowest own request rate at the last updates. An
// increase takes effect only after the peers have had time to receive it, a
// decrease at once.
func (p quota) sustainedDemand() float64 {
	lowest := p.history[0]
	for _, d := range p.history[1:] {
		lowest = min(lowest, d)
	}
	return lowest
}

// WithFleetDemand returns the quota recalculated from the demand of the peers.
// Each daemon has an equal quota of the plan's rate. What the fresh peers leave
// unused is lent to the daemons with more demand, in proportion to their
// shortfall. Stale peers count as using their whole quota, so a partition lowers
// the sum of the quotas and never raises it. What the fleet admitted beyond the
// rate becomes a debt, which lowers the quotas by up to half until it is repaid.
func (p quota) WithFleetDemand(a ramp.Allowance, others fleetDemand, daemons int, elapsed time.Duration) quota {
	copy(p.history[1:], p.history[:historyLength-1])
	p.history[0] = p.own.requestRate
	p.weight = float64(a.Share) * localWeight(p.own.requestRate, others.requestRate, daemons)
	if a.Rate == 0 {
		p.rate, p.debt = 0, 0
		return p
	}
	total := float64(a.Rate)
	equalQuota := total / float64(daemons)
	shortfall := max(0, headroom*p.sustainedDemand()-equalQuota)
	borrowed := 0.0
	if shortfall > 0 {
		borrowed = shortfall * min(1, others.unused/(others.excess+shortfall))
	}
	maxDebt := total * debtWindow.Seconds()
	overrun := (others.admitRate + p.own.admitRate - total) * elapsed.Seconds()
	p.debt = min(max(0, p.debt+overrun), maxDebt)
	p.rate = (equalQuota + borrowed) * (1 - p.debt/maxDebt/2)
	return p
}

// localWeight returns the factor for a plan's weight on this daemon. It is 1 for
// a plan whose demand is spread evenly over the daemons, and higher where more of
// the demand is.
func localWeight(own, others float64, daemons int) float64 {
	if own+others <= 0 {
		return 1
	}
	weight := float64(daemons) * own / (own + others)
	return min(max(weight, 1.0/maxWeightRatio), maxWeightRatio)
}

// WithRefill returns the quota with the tokens added that accrued until now. The
// first refill fills the bucket.
func (p quota) WithRefill(now time.Time) quota {
	if p.rate == 0 {
		return p
	}
	if p.refilled.IsZero() {
		p.tokens = p.rate * burstTime.Seconds()
	} else if elapsed := now.Sub(p.refilled); elapsed > 0 {
		p.tokens = min(p.tokens+p.rate*elapsed.Seconds(), p.rate*burstTime.Seconds())
	}
	p.refilled = now
	return p
}

// WithAdmitted returns the quota after cost sub-requests were admitted. A query
// may start when there is any token and may overdraw the bucket, so that a query
// with many sub-requests can run under a low rate too.
func (p quota) WithAdmitted(cost int) quota {
	p.admitted += uint64(cost)
	if p.rate > 0 {
		p.tokens -= float64(cost)
	}
	return p
}

// hasTokens reports whether a query of the plan may start now under its rate.
func (p quota) hasTokens() bool { return p.rate == 0 || p.tokens > 0 }

// tokenDelay returns the time until there is a token again after cost further
// sub-requests were admitted.
func (p quota) tokenDelay(cost float64) time.Duration {
	if p.rate == 0 || p.tokens > cost {
		return 0
	}
	return time.Duration((cost-p.tokens)/p.rate*float64(time.Second)) + time.Millisecond
}
