package replica

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Penalties of a replica, as additional requests in its queue.
const (
	crossDomainPenalty = 3 // it is in another failure domain
	stalledPenalty     = 4 // its reply is long overdue
	warmupPenalty      = 1 // it is warming up after its start
)

// stallFactor is the multiple of the average latency without a reply after which a
// replica counts as stalled.
const stallFactor = 2

// slowReplicaRatio is the multiple of assumedLatency, to which attempts on all routes are
// scaled, from which a replica counts as slow and another failure domain is asked instead.
const slowReplicaRatio = 3

// Parameters of the failure ratio. It penalises replicas that fail some of their
// attempts: each success resets the circuit breaker's count, so the breaker does not
// open for them.
const (
	failureSmoothing       = 0.3             // weight of one outcome in the failure ratio
	failureHalfLife        = 3 * time.Second // of the failure ratio while there are no outcomes
	failurePenalty         = 8               // factor of the failure ratio in the expected latency
	maxHealthyFailureRatio = 0.25            // from which another failure domain is asked instead
)

// displacedLife is how long a replica gets no requests after another replica answered at
// its address, unless its entry is written again. It bounds the effect of a wrong answer.
const displacedLife = 30 * time.Second

// signalsLogInterval is the least time between two log lines about the signals of a
// replica, which may change with each response.
const signalsLogInterval = time.Second

// latencyJitter is the random share added to expected latencies, so that daemons with
// the same information do not all pick the same replica.
const latencyJitter = 0.1

// replicaStats is the state of one start of a replica as observed by this daemon's own
// attempts. It is an immutable value.
type replicaStats struct {
	Load
	condition
	startedMillis  int64     // identifies the start; Unix time in milliseconds
	address        string    // where that start listens
	lastProgress   time.Time // last reply or refusal, or when an attempt was placed on the idle replica
	failureRatio   float64   // moving average of failures and refusals among the outcomes
	failureRatioAt time.Time // when failureRatio was last updated
	displacedAt    time.Time // when another replica last answered at the address; zero for never
	loggedAt       time.Time // when a change of the signals was last logged; zero for never
	fullAt         time.Time // when the replica last refused a request since it was full; zero for never

	sentSinceLoad int // attempts placed since the replica last reported its load, those that ended included
}

// forStart returns the statistics if they belong to the given start of the replica, and
// empty ones of that start otherwise.
func (s replicaStats) forStart(i ramp.Instance) replicaStats {
	if s.startedMillis != i.StartedMillis || s.address != i.Address {
		return replicaStats{startedMillis: i.StartedMillis, address: i.Address}
	}
	return s
}

// withAttempt returns the statistics with one more attempt in flight at the given
// start.
func (s replicaStats) withAttempt(i ramp.Instance, now time.Time) replicaStats {
	s = s.forStart(i)
	if s.InFlight == 0 {
		s.lastProgress = now
	}
	s.sentSinceLoad++
	s.Load = s.WithPlaced()
	s.condition = s.withRequest(now)
	return s
}

// withOutcome returns the statistics after an attempt ended.
func (s replicaStats) withOutcome(a ramp.Attempt, now time.Time) replicaStats {
	s.Load = s.WithDone(a, now)
	if !a.Sent {
		s.condition = s.withUnsent(now)
	}
	if a.Outcome == ramp.Merged || a.Outcome == ramp.Late || a.Outcome == ramp.Shed {
		s.lastProgress = now
	}
	if a.Outcome == ramp.Shed {
		s.fullAt = now
	}
	switch a.Outcome {
	case ramp.Merged, ramp.Late:
		s.failureRatio = s.currentFailureRatio(now) * (1 - failureSmoothing)
		s.failureRatioAt = now
	case ramp.Shed, ramp.Failed, ramp.Truncated, ramp.Mismatched, ramp.Unreachable, ramp.Expired:
		s.failureRatio = s.currentFailureRatio(now)*(1-failureSmoothing) + failureSmoothing
		s.failureRatioAt = now
	case ramp.Misdirected:
		s.displacedAt = now
	}
	return s
}

// displaced reports whether the replica's address belongs to another replica, as far as
// is known. A later entry of the replica refutes it.
func (s replicaStats) displaced(r registration, now time.Time) bool {
	return !s.displacedAt.IsZero() && !r.readAt.After(s.displacedAt) && now.Sub(s.displacedAt) < displacedLife
}

// currentFailureRatio returns the failure ratio, decayed since its last update.
func (s replicaStats) currentFailureRatio(now time.Time) float64 {
	if s.failureRatio == 0 {
		return 0
	}
	return s.failureRatio * math.Exp2(-float64(now.Sub(s.failureRatioAt))/float64(failureHalfLife))
}

// stalled reports whether a reply is long overdue.
func (s replicaStats) stalled(now time.Time) bool {
	return s.InFlight > 0 && now.Sub(s.lastProgress) > stallFactor*max(s.Latency, assumedLatency)
}

// slow reports whether the replica's replies take much longer than those of others. The
// average fades, so that it is tried again.
func (s replicaStats) slow(now time.Time) bool {
	return s.fadedLatency(now) > slowReplicaRatio*float64(assumedLatency)
}

// healthy reports whether there is no reason to ask another replica.
func (s replicaStats) healthy(now time.Time) bool {
	return !s.Avoided(now) && !s.stalled(now) && !s.slow(now) && s.currentFailureRatio(now) < maxHealthyFailureRatio
}

// Picker picks replicas of services by their registrations in the store and by this
// daemon's own attempts. It implements [ramp.Picker].
type Picker struct {
	clock     ramp.Clock
	log       *slog.Logger
	domain    string // this daemon's own failure domain
	instances *Instances
	shares    ramp.LimitSharer
	routing   ramp.RoutingSource                // nil if no service has a warm-up time
	coldShare ramp.ColdSharer                   // nil if cold replicas are not limited
	coldRates *ramp.Table[string, coldRate]     // by replica id, of cold replicas
	stats     *ramp.Table[string, replicaStats] // by replica id
	points    *ramp.Table[string, points]       // by service whose replicas report their load
}

// NewPicker returns a picker without statistics. Domain is this daemon's own failure
// domain.
func NewPicker(
	instances *Instances, domain string, shares ramp.LimitSharer, log *slog.Logger, clock ramp.Clock,
) *Picker {
	return &Picker{
		clock: clock, log: log, domain: domain, instances: instances, shares: shares,
		stats:     ramp.NewTable[string, replicaStats](ramp.RankReplicas),
		coldRates: ramp.NewTable[string, coldRate](ramp.RankReplicas),
		points:    ramp.NewTable[string, points](ramp.RankReplicas),
	}
}

// WithRouting sets the source of the services' warm-up times and rates and the division of
// the rates, and returns the picker. It must be called before the picker is used.
func (p *Picker) WithRouting(routing ramp.RoutingSource, share ramp.ColdSharer) *Picker {
	p.routing, p.coldShare = routing, share
	return p
}

// healthRank orders the healths of replicas, best first.
var healthRank = map[ramp.Health]int{
	ramp.HealthOK: 0, ramp.HealthSuspect: 1, ramp.HealthDeregistered: 2, ramp.HealthDraining: 3,
}

// selection is the choice among the replicas of a service for one attempt. Replicas in a
// failure domain to which load returns after an evacuation take part in a share of the
// selections, and in the others only if no other replica may be used at all.
type selection struct {
	best     registration
	info     ramp.PickInfo
	shortest float64  // expected latency of best
	options  []option // all candidates, only where several daemons send to the replicas
}

// withCandidate returns the selection with one more replica that may get the attempt.
func (c selection) withCandidate(o option, senders int) selection {
	better := healthRank[o.health] < healthRank[c.info.Health] || o.health == c.info.Health && o.expected < c.shortest
	if c.info.Candidates == 0 || better {
		c.best, c.info.Health, c.shortest = o.registration, o.health, o.expected
	}
	c.info.Candidates++
	if senders > 1 {
		c.options = append(c.options, o)
	}
	return c
}

// empty reports whether no replica may be used, not even later.
func (c selection) empty() bool {
	return c.info.Candidates+c.info.Saturated+c.info.Throttled == 0
}

// Pick implements [ramp.Picker].
func (p *Picker) Pick(request ramp.PickRequest) (ramp.Instance, ramp.PickInfo, bool) {
	for {
		m := p.moment(request.Service)
		chosen := p.choose(request, m)
		best, info := chosen.best, chosen.info
		if info.Candidates == 0 {
			return ramp.Instance{}, info, false
		}
		if i, ok := p.balanced(request, chosen.options, info.Health, m.now); ok {
			best, chosen.shortest = chosen.options[i].registration, chosen.options[i].expected
			if load, age, ok := chosen.options[i].stats.recentLoad(m.now); ok {
				info = info.WithLoad(load, age)
			}
		}
		if !p.assign(best, m) {
			continue // another attempt took the last token of a cold replica, which now counts as throttled
		}
		info.ExpectedLatency, info.EntryAge = time.Duration(chosen.shortest), m.now.Sub(best.readAt)
		info.StartedMillis = best.StartedMillis
		return best.Instance, info, true
	}
}

// assign counts an attempt as in flight at the replica. It reports false if the replica is
// cold and the daemon may send it no request now.
func (p *Picker) assign(r registration, m moment) bool {
	assigned := true
	rate, limited := p.coldRate(r, p.statsOf(r), m)
	p.stats.Update(r.ID, func(s replicaStats) replicaStats {
		s = s.forStart(r.Instance)
		if limited {
			bucket := s.coldBucket(r, rate)
			if assigned = bucket.delay(m.now) == 0; !assigned {
				return s
			}
			s.cold = bucket.withTaken(m.now)
		}
		return s.withAttempt(r.Instance, m.now)
	})
	return assigned
}

// moment is what holds for all replicas of a service at one time. It is an immutable value.
type moment struct {
	now         time.Time
	evacuations evacuations
	warmup      ramp.Warmup
	draw        float64 // random number from 0 to 1, 1 excluded
}

func (p *Picker) moment(service string) moment {
	return moment{
		now: p.clock.Now(), evacuations: p.instances.evacuations(), warmup: p.warmup(service), draw: rand.Float64(),
	}
}

// share returns the share of its usual requests that the replica may get.
func (m moment) share(r registration) float64 {
	return m.evacuations.share(r.Domain, returnTime(m.warmup), m.now)
}

// choose selects a replica for the attempt. At any load it exceeds neither the attempts in
// flight nor the rates of replicas; an attempt that fits nowhere gets none, and is not moved to
// a domain to which load only returns.
func (p *Picker) choose(request ramp.PickRequest, m moment) selection {
	var usual, withheld selection // withheld: in domains to which load returns
	for _, r := range p.instances.ofService(request.Service) {
		if request.Near && r.Domain != p.domain {
			continue
		}
		s := p.statsOf(r)
		health, ok := p.health(r, s, m)
		if !ok || wasTried(request.Tried, r.ID) {
			continue
		}
		to, bound := &usual, request
		bound.Ordered = request.Ordered && s.recentlyFull(m.now)
		if share := m.share(r); share < 1 {
			bound.Limit = max(1, int(share*float64(request.Limit)))
			if m.draw >= share {
				to = &withheld
			}
		}
		if delay := p.sendDelay(r, s, m); delay > 0 {
			to.info = to.info.WithThrottled(delay)
			continue
		}
		if s.InFlight >= concurrencyFor(bound, r.Capacity, r.Domain == p.domain, s.slowToQueue(m.now)).limit() {
			to.info.Saturated++
			continue
		}
		*to = to.withCandidate(option{
			registration: r, stats: s, health: health, expected: p.expectedLatency(r, s, m.now),
		}, request.Senders)
	}
	if usual.empty() {
		return withheld
	}
	return usual
}

// Usable implements [ramp.Picker].
func (p *Picker) Usable(i ramp.Instance) bool {
	all := p.instances.ofService(i.Service)
	at, found := findByID(all, i.ID)
	if !found || !all[at].SameStart(i) {
		return false
	}
	_, ok := p.health(all[at], p.statsOf(all[at]), p.moment(i.Service))
	return ok
}

// health returns the replica's health by its registration, its circuit breaker, the
// owner of its address and the evacuations. It reports false when the replica must get no
// requests.
func (p *Picker) health(r registration, s replicaStats, m moment) (ramp.Health, bool) {
	if s.displaced(r, m.now) || m.evacuations.evacuated[r.Domain] {
		return "", false
	}
	health, ok := r.withLeavingSince(s.leavingSince).health(m.now)
	if ok && health == ramp.HealthOK && s.Avoided(m.now) {
		return ramp.HealthSuspect, true
	}
	return health, ok
}

// statsOf returns the statistics of the replica's current start.
func (p *Picker) statsOf(r registration) replicaStats {
	s, _ := p.stats.Get(r.ID)
	return s.forStart(r.Instance)
}

// expectedLatency returns the expected time until a reply in nanoseconds, with
// penalties and jitter.
func (p *Picker) expectedLatency(r registration, s replicaStats, now time.Time) float64 {
	queue := float64(s.InFlight+1) + p.queuePenalty(r, s, now)
	if s.stalled(now) {
		queue += stalledPenalty
	}
	return s.expectedLatencyAt(queue, now) *
		(1 + failurePenalty*s.currentFailureRatio(now)) * (1 + latencyJitter*rand.Float64())
}

// queuePenalty returns the penalty of the replica by its place and its start, as additional
// requests in its queue.
func (p *Picker) queuePenalty(r registration, s replicaStats, now time.Time) float64 {
	penalty := 0.0
	if r.Domain != p.domain {
		penalty += crossDomainPenalty
	}
	if s.coldLeft(r, now) > 0 {
		penalty += warmupPenalty
	}
	return penalty
}

// Done implements [ramp.Picker].
func (p *Picker) Done(a ramp.Attempt) {
	now := p.clock.Now()
	var share ramp.LimitShare
	if a.Signals != nil && a.Signals.Limited {
		share = p.shares.Share(a.Replica, a.Signals.RateLimit)
	}
	changed := false
	p.stats.UpdateExisting(a.Replica.ID, func(s replicaStats) replicaStats {
		if s.address != a.Replica.Address || s.startedMillis != a.Pick.StartedMillis {
			return s // the replica has restarted since
		}
		s = s.withOutcome(a, now)
		if a.Signals == nil {
			return s
		}
		if changed = s.signals != a.Signals.Lasting() && now.Sub(s.loggedAt) >= signalsLogInterval; changed {
			s.loggedAt = now
		}
		s.condition = s.withSignals(*a.Signals, share, now)
		if a.Signals.Load != nil {
			s.sentSinceLoad = 0
		}
		return s
	})
	if changed {
		p.log.Info("replica signals changed", "replica", a.Replica.ID, "service", a.Shard.ID,
			"limited", a.Signals.Limited, "limit", a.Signals.RateLimit, "share", share.Rate,
			"leaving", a.Signals.Leaving, "refuses", a.Signals.RetryAfter, "ignored", a.Signals.Ignored)
	}
}

// Views returns this daemon's view of each replica, sorted by service and id.
func (p *Picker) Views() []ramp.ReplicaView {
	now := p.clock.Now()
	registrations := p.instances.all()
	views := make([]ramp.ReplicaView, 0, len(registrations))
	for _, r := range registrations {
		s, m := p.statsOf(r), p.moment(r.Service)
		health, ok := p.health(r, s, m)
		if !ok {
			health = ""
		}
		views = append(views, ramp.ReplicaView{
			Instance: r.Instance, Health: health, EntryAge: now.Sub(r.readAt), InFlight: s.InFlight, Latency: s.Latency,
			FailureRatio: s.currentFailureRatio(now), Stalled: s.stalled(now), Delay: p.sendDelay(r, s, m),
			ColdLeft: s.coldLeft(r, now), Load: s.load.ReplicaLoad, LoadAge: s.loadAge(now),
		}.WithSignals(s.signals, s.signalsAge(now), s.share.Rate))
	}
	return views
}

// Delay implements [ramp.Picker].
func (p *Picker) Delay(service string) (time.Duration, bool) {
	m := p.moment(service)
	var info ramp.PickInfo
	for _, r := range p.instances.ofService(service) {
		s := p.statsOf(r)
		if _, ok := p.health(r, s, m); !ok {
			continue
		}
		delay := p.sendDelay(r, s, m)
		if delay == 0 {
			return 0, true
		}
		info = info.WithThrottled(delay)
	}
	return info.Delay, info.Throttled > 0
}

// Remove deletes the statistics of a replica that is gone.
func (p *Picker) Remove(id string) { p.stats.Delete(id) }

// Domains implements [ramp.Picker]. A domain to which load returns after an evacuation is
// among a share of the results, and among the others only if it is alone. One whose replicas
// are limited since they are cold is also there only if it is alone: the daemon that
// collects parts there has the share of their rate, and gives back what exceeds it.
func (p *Picker) Domains(service string) []string {
	m := p.moment(service)
	var domains, withheld []string
	for _, r := range p.instances.ofService(service) {
		if !p.sound(r, m) {
			continue
		}
		to := &domains
		if m.draw >= m.share(r) || p.coldLimited(r, p.statsOf(r), m) {
			to = &withheld
		}
		switch {
		case slices.Contains(*to, r.Domain):
		case r.Domain == p.domain:
			*to = slices.Insert(*to, 0, r.Domain)
		default:
			*to = append(*to, r.Domain)
		}
	}
	if len(domains) == 0 {
		return withheld
	}
	return domains
}

// Near implements [ramp.Picker].
func (p *Picker) Near(service string) bool {
	m := p.moment(service)
	return slices.ContainsFunc(p.instances.ofService(service), func(r registration) bool {
		return r.Domain == p.domain && p.sound(r, m) && p.sendDelay(r, p.statsOf(r), m) == 0
	})
}

// sound reports whether the replica accepts requests, with no reason to ask another one but
// that it is cold.
func (p *Picker) sound(r registration, m moment) bool {
	s := p.statsOf(r)
	health, ok := p.health(r, s, m)
	return ok && health == ramp.HealthOK && s.healthy(m.now) && s.sendDelay(m.now) == 0
}

// Spread implements [ramp.Picker].
func (p *Picker) Spread(service string) int {
	var domains []string
	for _, r := range p.instances.ofService(service) {
		if !slices.Contains(domains, r.Domain) {
			domains = append(domains, r.Domain)
		}
	}
	return len(domains)
}
