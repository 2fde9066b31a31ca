package replica

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Weights of what speaks against a replica, in requests that it would have to
// work off first.
const (
	crossWeight = 3 // it is in another failure domain
	stallWeight = 4 // it has not replied for long
	coldWeight  = 1 // it has just started
)

// stallFactor is how many times the average latency a replica may take before
// it counts as stalled.
const stallFactor = 2

// Weights of what fails at a replica while other attempts succeed.
const (
	troubleSample = 0.3             // weight of one outcome in the share of failures
	troubleFade   = 3 * time.Second // in which the share halves without an attempt
	troubleWeight = 8               // of the share in the expected time
	troubleMuch   = 0.25            // share from which another failure domain is asked instead
)

// spread is the share by which scores are varied, so that daemons which know the
// same do not all choose the same replica.
const spread = 0.1

// record is what the daemon's own attempts tell of one start of a replica. It is
// an immutable value.
type record struct {
	Load
	born     int64     // start that the record is of
	address  string    // where that start listens
	progress time.Time // last reply, or when the oldest attempt was placed
	trouble  float64   // share of failures and refusals among the last outcomes
	judged   time.Time // when trouble was last changed
}

// at returns the record if it is of the given start, and an empty one of that
// start otherwise.
func (r record) at(i ramp.Instance) record {
	if r.born != i.StartedMillis || r.address != i.Address {
		return record{born: i.StartedMillis, address: i.Address}
	}
	return r
}

// placed returns the record with one more attempt at the given start.
func (r record) placed(i ramp.Instance, now time.Time) record {
	r = r.at(i)
	if r.Busy == 0 {
		r.progress = now
	}
	r.Load = r.WithPlaced()
	return r
}

// done returns the record after an attempt ended.
func (r record) done(a ramp.Attempt, now time.Time) record {
	r.Load = r.WithDone(a, now)
	if a.Outcome == ramp.Merged || a.Outcome == ramp.Late || a.Outcome == ramp.Shed {
		r.progress = now
	}
	switch a.Outcome {
	case ramp.Merged, ramp.Late:
		r.trouble = r.troubled(now) * (1 - troubleSample)
		r.judged = now
	case ramp.Shed, ramp.Failed, ramp.Truncated, ramp.Mismatched, ramp.Unreachable, ramp.Expired:
		r.trouble = r.troubled(now)*(1-troubleSample) + troubleSample
		r.judged = now
	}
	return r
}

// troubled returns the share of failures and refusals as it counts now.
func (r record) troubled(now time.Time) float64 {
	if r.trouble == 0 {
		return 0
	}
	return r.trouble * math.Exp2(-float64(now.Sub(r.judged))/float64(troubleFade))
}

// stalled reports whether a reply is long overdue.
func (r record) stalled(now time.Time) bool {
	return r.Busy > 0 && now.Sub(r.progress) > stallFactor*max(r.Latency, neutral)
}

// steady reports whether there is no reason to ask another replica.
func (r record) steady(now time.Time) bool {
	return !r.Avoided(now) && !r.stalled(now) && r.troubled(now) < troubleMuch
}

// Picker picks replicas of services by their entries in the store and by the
// daemon's own attempts. It implements [ramp.Picker].
type Picker struct {
	clock     ramp.Clock
	domain    string // the daemon's own failure domain
	instances *Instances
	records   *ramp.Table[string, record] // by id
}

// NewPicker returns a picker that has seen no attempt yet.
func NewPicker(instances *Instances, domain string, clock ramp.Clock) *Picker {
	return &Picker{
		clock: clock, domain: domain, instances: instances,
		records: ramp.NewTable[string, record](ramp.RankReplicas),
	}
}

// standings orders the footings of replicas.
var standings = map[ramp.Health]int{
	ramp.HealthOK: 0, ramp.HealthSuspect: 1, ramp.HealthDeregistered: 2, ramp.HealthDraining: 3,
}

// Pick implements [ramp.Picker].
func (p *Picker) Pick(service string, tried []ramp.Attempt, room int) (ramp.Instance, ramp.PickInfo, bool) {
	now := p.clock.Now()
	var best listed
	var grounds ramp.PickInfo
	lowest := 0.0
	for _, l := range p.instances.of(service) {
		r := p.of(l)
		footing, ok := p.footing(l, r, now)
		if !ok || wasTried(tried, l.ID) {
			continue
		}
		if r.Busy >= room {
			grounds.Saturated++
			continue
		}
		score := p.score(l, r, now)
		better := standings[footing] < standings[grounds.Health] || footing == grounds.Health && score < lowest
		if grounds.Candidates == 0 || better {
			best, grounds.Health, lowest = l, footing, score
		}
		grounds.Candidates++
	}
	if grounds.Candidates == 0 {
		return ramp.Instance{}, grounds, false
	}
	grounds.ExpectedLatency, grounds.EntryAge = time.Duration(lowest), now.Sub(best.learnt)
	p.records.Update(best.ID, func(r record) record { return r.placed(best.Instance, now) })
	return best.Instance, grounds, true
}

// footing returns how the replica stands, or reports false when it may get
// nothing.
func (p *Picker) footing(l listed, r record, now time.Time) (ramp.Health, bool) {
	footing, ok := l.footing(now)
	if ok && footing == ramp.HealthOK && r.Avoided(now) {
		return ramp.HealthSuspect, true
	}
	return footing, ok
}

// of returns what is known of the replica's present start.
func (p *Picker) of(l listed) record {
	r, _ := p.records.Get(l.ID)
	return r.at(l.Instance)
}

// score returns the expected time until a reply.
func (p *Picker) score(l listed, r record, now time.Time) float64 {
	queue := float64(r.Busy + 1)
	if l.Domain != p.domain {
		queue += crossWeight
	}
	if r.stalled(now) {
		queue += stallWeight
	}
	if l.WarmupLeft > 0 && now.Sub(l.learnt) < l.WarmupLeft {
		queue += coldWeight
	}
	return r.scoreBehind(queue, now) * (1 + troubleWeight*r.troubled(now)) * (1 + spread*rand.Float64())
}

// Done implements [ramp.Picker].
func (p *Picker) Done(a ramp.Attempt) {
	now := p.clock.Now()
	p.records.UpdateExisting(a.Replica.ID, func(r record) record {
		if r.address != a.Replica.Address {
			return r // the replica has started again meanwhile
		}
		return r.done(a, now)
	})
}

// Views returns what the daemon takes to be true of each replica, sorted by
// service and id.
func (p *Picker) Views() []ramp.ReplicaView {
	now := p.clock.Now()
	listed := p.instances.all()
	views := make([]ramp.ReplicaView, 0, len(listed))
	for _, l := range listed {
		r := p.of(l)
		footing, ok := p.footing(l, r, now)
		if !ok {
			footing = ""
		}
		views = append(views, ramp.ReplicaView{
			Instance: l.Instance, Health: footing, EntryAge: now.Sub(l.learnt), InFlight: r.Busy, Latency: r.Latency,
			FailureRatio: r.troubled(now), Stalled: r.stalled(now),
		})
	}
	return views
}

// Forget drops what is known of a replica that is gone.
func (p *Picker) Forget(id string) { p.records.Delete(id) }

// Domains implements [ramp.Picker].
func (p *Picker) Domains(service string) (near bool, others []string) {
	now := p.clock.Now()
	for _, l := range p.instances.of(service) {
		if footing, ok := l.footing(now); !ok || footing != ramp.HealthOK {
			continue
		}
		if !p.of(l).steady(now) {
			continue
		}
		if l.Domain == p.domain {
			return true, nil
		}
		if !slices.Contains(others, l.Domain) {
			others = append(others, l.Domain)
		}
	}
	return false, others
}
