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
	stats     *ramp.Table[string, replicaStats] // by replica id
}

// NewPicker returns a picker without statistics. Domain is this daemon's own failure
// domain.
func NewPicker(
	instances *Instances, domain string, shares ramp.LimitSharer, log *slog.Logger, clock ramp.Clock,
) *Picker {
	return &Picker{
		clock: clock, log: log, domain: domain, instances: instances, shares: shares,
		stats: ramp.NewTable[string, replicaStats](ramp.RankReplicas),
	}
}

// healthRank orders the healths of replicas, best first.
var healthRank = map[ramp.Health]int{
	ramp.HealthOK: 0, ramp.HealthSuspect: 1, ramp.HealthDeregistered: 2, ramp.HealthDraining: 3,
}

// Pick implements [ramp.Picker].
func (p *Picker) Pick(request ramp.PickRequest) (ramp.Instance, ramp.PickInfo, bool) {
	now := p.clock.Now()
	var best registration
	var info ramp.PickInfo
	shortest := 0.0
	for _, r := range p.instances.ofService(request.Service) {
		if request.Near && r.Domain != p.domain {
			continue
		}
		s := p.statsOf(r)
		health, ok := p.health(r, s, now)
		if !ok || wasTried(request.Tried, r.ID) {
			continue
		}
		if delay := s.sendDelay(now); delay > 0 {
			info = info.WithThrottled(delay)
			continue
		}
		if s.InFlight >= concurrencyFor(request, r.Capacity, r.Domain == p.domain, s.slowToQueue(now)).limit() {
			info.Saturated++
			continue
		}
		expected := p.expectedLatency(r, s, now)
		better := healthRank[health] < healthRank[info.Health] || health == info.Health && expected < shortest
		if info.Candidates == 0 || better {
			best, info.Health, shortest = r, health, expected
		}
		info.Candidates++
	}
	if info.Candidates == 0 {
		return ramp.Instance{}, info, false
	}
	info.ExpectedLatency, info.EntryAge = time.Duration(shortest), now.Sub(best.readAt)
	info.StartedMillis = best.StartedMillis
	p.stats.Update(best.ID, func(s replicaStats) replicaStats { return s.withAttempt(best.Instance, now) })
	return best.Instance, info, true
}

// Usable implements [ramp.Picker].
func (p *Picker) Usable(i ramp.Instance) bool {
	all := p.instances.ofService(i.Service)
	at, found := findByID(all, i.ID)
	if !found || !all[at].SameStart(i) {
		return false
	}
	_, ok := p.health(all[at], p.statsOf(all[at]), p.clock.Now())
	return ok
}

// health returns the replica's health by its registration, its circuit breaker and the
// owner of its address. It reports false when the replica must get no requests.
func (p *Picker) health(r registration, s replicaStats, now time.Time) (ramp.Health, bool) {
	if s.displaced(r, now) {
		return "", false
	}
	health, ok := r.withLeavingSince(s.leavingSince).health(now)
	if ok && health == ramp.HealthOK && s.Avoided(now) {
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
	queue := float64(s.InFlight + 1)
	if r.Domain != p.domain {
		queue += crossDomainPenalty
	}
	if s.stalled(now) {
		queue += stalledPenalty
	}
	if r.WarmupLeft > 0 && now.Sub(r.readAt) < r.WarmupLeft {
		queue += warmupPenalty
	}
	return s.expectedLatencyAt(queue, now) *
		(1 + failurePenalty*s.currentFailureRatio(now)) * (1 + latencyJitter*rand.Float64())
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
		if changed = s.signals != *a.Signals && now.Sub(s.loggedAt) >= signalsLogInterval; changed {
			s.loggedAt = now
		}
		s.condition = s.withSignals(*a.Signals, share, now)
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
		s := p.statsOf(r)
		health, ok := p.health(r, s, now)
		if !ok {
			health = ""
		}
		views = append(views, ramp.ReplicaView{
			Instance: r.Instance, Health: health, EntryAge: now.Sub(r.readAt), InFlight: s.InFlight, Latency: s.Latency,
			FailureRatio: s.currentFailureRatio(now), Stalled: s.stalled(now), Delay: s.sendDelay(now),
		}.WithSignals(s.signals, s.signalsAge(now), s.share.Rate))
	}
	return views
}

// Delay implements [ramp.Picker].
func (p *Picker) Delay(service string) (time.Duration, bool) {
	now := p.clock.Now()
	var info ramp.PickInfo
	for _, r := range p.instances.ofService(service) {
		s := p.statsOf(r)
		if _, ok := p.health(r, s, now); !ok {
			continue
		}
		delay := s.sendDelay(now)
		if delay == 0 {
			return 0, true
		}
		info = info.WithThrottled(delay)
	}
	return info.Delay, info.Throttled > 0
}

// Remove deletes the statistics of a replica that is gone.
func (p *Picker) Remove(id string) { p.stats.Delete(id) }

// Domains implements [ramp.Picker].
func (p *Picker) Domains(service string) []string {
	now := p.clock.Now()
	var domains []string
	for _, r := range p.instances.ofService(service) {
		s := p.statsOf(r)
		health, ok := p.health(r, s, now)
		if !ok || health != ramp.HealthOK || !s.healthy(now) || s.sendDelay(now) > 0 {
			continue
		}
		switch {
		case slices.Contains(domains, r.Domain):
		case r.Domain == p.domain:
			domains = slices.Insert(domains, 0, r.Domain)
		default:
			domains = append(domains, r.Domain)
		}
	}
	return domains
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
