package query

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of the choice of a failure domain.
const (
	// placementSmoothing is the weight of a collection in the average latency of its
	// failure domain.
	placementSmoothing = 0.3
	// placementFade is the time in which the excess of a domain's latency over that of
	// a domain without collections halves, so that a domain that was slow is used again.
	placementFade = 2 * time.Second
)

// domainLoad is what this daemon observed of the collections in a failure
// domain. It is an immutable value.
type domainLoad struct {
	pending int           // parts that collections in progress have not delivered yet; never negative
	latency time.Duration // moving average until the first batch, see [domainLoad.withOutcome]; 0 for none yet
	endedAt time.Time     // when latency was last updated
}

// withStarted returns the load with a collection of the given number of parts
// in progress.
func (l domainLoad) withStarted(parts int) domainLoad {
	l.pending += parts
	return l
}

// withEnded returns the load after the end of a collection.
func (l domainLoad) withEnded(parts int) domainLoad {
	l.pending = max(0, l.pending-parts)
	return l
}

// withOutcome returns the load after the first batch of a collection, of whose
// parts the given share was missing. A missing part counts as one that takes as
// long as penalty.
func (l domainLoad) withOutcome(
	elapsed time.Duration, missing float64, penalty time.Duration, now time.Time,
) domainLoad {
	sample := elapsed + time.Duration(missing*float64(penalty))
	if l.latency > 0 {
		old := l.latencyAt(now)
		sample = old + time.Duration(placementSmoothing*float64(sample-old))
	}
	l.latency, l.endedAt = sample, now
	return l
}

// latencyAt returns the average latency, faded since its last update.
func (l domainLoad) latencyAt(now time.Time) time.Duration {
	if l.latency <= referenceLatency {
		return max(l.latency, time.Millisecond)
	}
	age := float64(now.Sub(l.endedAt)) / float64(placementFade)
	return referenceLatency + time.Duration(float64(l.latency-referenceLatency)/(1+age))
}

// candidate is a failure domain with its weight in a draw.
type candidate struct {
	domain string
	weight float64 // not negative
}

// placement chooses the failure domains whose replicas get the attempts for the
// parts of answers. It depends neither on the names of the domains nor on their
// number.
type placement struct {
	clock  ramp.Clock
	random func() float64                  // returns numbers from 0 to 1, 1 excluded
	loads  *ramp.Table[string, domainLoad] // by failure domain
}

func newPlacement(clock ramp.Clock) *placement {
	return &placement{clock: clock, random: rand.Float64, loads: ramp.NewTable[string, domainLoad](ramp.RankBudgets)}
}

// order returns the failure domains in the order in which the parts of a
// request should use them, given the number of parts that each domain can serve.
// It is drawn at random: the weight of a domain is the number of daemons that
// collect there, times its parts, over the time that a part takes. So equal domains
// get equal shares of the requests, and slow or loaded ones less. Domains in which
// no daemon collects come last, in any order.
func (p *placement) order(parts map[string]int, collectors func(domain string) int) []string {
	now := p.clock.Now()
	candidates := make([]candidate, 0, len(parts))
	for _, domain := range slices.Sorted(maps.Keys(parts)) {
		load, _ := p.loads.Get(domain)
		daemons := float64(collectors(domain))
		queue := 1 + float64(load.pending)/max(1, daemons)
		weight := daemons * float64(parts[domain]) / (queue * float64(load.latencyAt(now)))
		candidates = append(candidates, candidate{domain: domain, weight: weight})
	}
	ordered := make([]string, 0, len(parts))
	for len(candidates) > 0 {
		chosen := draw(candidates, p.random())
		ordered = append(ordered, candidates[chosen].domain)
		candidates = slices.Delete(candidates, chosen, chosen+1)
	}
	return ordered
}

// draw returns the index of the candidate at a point from 0 to 1 of the sum of
// the weights. Without weights all are equal.
func draw(candidates []candidate, point float64) int {
	var total float64
	for _, c := range candidates {
		total += c.weight
	}
	if total == 0 {
		return int(point * float64(len(candidates)))
	}
	at := point * total
	for i, c := range candidates {
		if at < c.weight {
			return i
		}
		at -= c.weight
	}
	return len(candidates) - 1
}

// start records a collection of the given number of parts in the domain.
func (p *placement) start(domain string, parts int) {
	p.loads.Update(domain, func(l domainLoad) domainLoad { return l.withStarted(parts) })
}

// end records the end of a collection.
func (p *placement) end(domain string, parts int) {
	p.loads.Update(domain, func(l domainLoad) domainLoad { return l.withEnded(parts) })
}

// observe records the first batch of a collection, see [domainLoad.withOutcome].
func (p *placement) observe(domain string, elapsed time.Duration, missing float64, penalty time.Duration) {
	now := p.clock.Now()
	p.loads.Update(domain, func(l domainLoad) domainLoad { return l.withOutcome(elapsed, missing, penalty, now) })
}
