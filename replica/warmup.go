package replica

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// coldRateLife is how long this daemon's share of the rate of a cold replica is used before
// it is computed again, which takes a pass over the members.
const coldRateLife = 250 * time.Millisecond

// coldRate is this daemon's share of the rate of a cold replica. It is an immutable value.
type coldRate struct {
	rate  float64 // requests per second
	limit float64 // rate of the replica that it is a share of
	at    time.Time
}

// coldLeft returns the time for which the replica is still cold, by its newest entry and its
// newest response, whichever is longer: the other one may be older.
func (c condition) coldLeft(r registration, now time.Time) time.Duration {
	return max(0, r.readAt.Add(r.WarmupLeft).Sub(now), c.coldUntil.Sub(now))
}

// coldBucket returns the tokens for requests to the cold replica, of which this daemon holds
// at most one. It is empty when the replica's entry was first read.
func (c condition) coldBucket(r registration, rate float64) tokenBucket {
	bucket := c.cold
	if bucket.filledAt.IsZero() {
		bucket.filledAt = r.readAt
	}
	bucket.rate, bucket.burst = rate, 1
	return bucket
}

// loadAge returns the age of the load that the replica reported, 0 for none.
func (c condition) loadAge(now time.Time) time.Duration {
	if c.load.heardAt.IsZero() {
		return 0
	}
	return now.Sub(c.load.heardAt)
}

// sendDelay returns the time until the replica accepts another request of this daemon, by
// what it said of itself and while it is cold.
func (p *Picker) sendDelay(r registration, s replicaStats, m moment) time.Duration {
	delay := s.sendDelay(m.now)
	if rate, limited := p.coldRate(r, s, m); limited {
		cold := min(s.coldBucket(r, rate).delay(m.now), s.coldLeft(r, m.now))
		delay = max(delay, cold)
	}
	return delay
}

// coldLimited reports whether the replica is cold and bears a limited rate meanwhile.
func (p *Picker) coldLimited(r registration, s replicaStats, m moment) bool {
	return m.warmup.Rate > 0 && p.coldShare != nil && s.coldLeft(r, m.now) > 0
}

// coldRate returns the requests per second that this daemon may send to the replica. It
// reports false if there is no limit, since the replica is warm or bears any load.
func (p *Picker) coldRate(r registration, s replicaStats, m moment) (float64, bool) {
	if !p.coldLimited(r, s, m) {
		return 0, false
	}
	known, _ := p.coldRates.Get(r.ID)
	if known.limit == m.warmup.Rate && m.now.Sub(known.at) < coldRateLife {
		return known.rate, true
	}
	limit := ramp.ColdLimit{Rate: m.warmup.Rate, Collected: p.collected(r.Service)}
	next := coldRate{rate: p.coldShare.ColdRate(r.Instance, limit), limit: m.warmup.Rate, at: m.now}
	p.coldRates.Put(r.ID, next)
	return next.rate, true
}

// collected reports whether the service is part of a gathered route.
func (p *Picker) collected(service string) bool {
	routing, _ := p.routing.Current()
	return slices.ContainsFunc(routing.Routes, func(r ramp.Route) bool { return slices.Contains(r.Gather, service) })
}

// warmup returns how the replicas of the service start, the zero value if it is not known.
func (p *Picker) warmup(service string) ramp.Warmup {
	if p.routing == nil {
		return ramp.Warmup{}
	}
	routing, _ := p.routing.Current()
	return routing.Warmups[service]
}
