package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// loadLife is the age from which a reported load says nothing of the replica any more.
const loadLife = 10 * time.Second

// Bounds of what is taken from one replica's reports, so that a wrong one neither attracts
// nor repels the requests of all daemons for long.
const (
	maxReportedSlots = 1024 // requests that a replica works on at once
	maxQueuePerSlot  = 8    // requests at a replica for each of its slots
	maxCapacityRatio = 8    // capacity of a replica over the median of its service, and its inverse
)

// noisyLatencyRatio is the ratio of a replica's average latency to the median of its
// service, or its inverse, up to which the replicas count as equally fast. Averages over
// few replies differ by this much between equal replicas.
const noisyLatencyRatio = 1.6

// slowdownLife is the age at which half of a reported slowdown counts. Machines that share
// their processors change their speed several times a second.
const slowdownLife = 250 * time.Millisecond

// maxUnseen is the greatest number of requests that count as sent since the reports, as a
// multiple of the requests that are present. Those that were sent earlier have ended. Without
// the bound, old reports would spread requests over slow and remote replicas that are not
// needed; a smaller one gave longer queues where 300 daemons choose.
const maxUnseen = 2

// candidate is what a daemon knows of a replica that may get an attempt. It is an immutable
// value.
type candidate struct {
	load     ramp.ReplicaLoad // as reported; ignored unless reported
	reported bool             // load was reported within loadLife
	age      time.Duration    // of the report; loadLife without one
	sent     int              // attempts of this daemon in flight that it made since the report
	latency  time.Duration    // average over replies, faded while none come; 0 for none
	penalty  float64          // additional requests in its queue
	delay    time.Duration    // by which it is expected to reply later for reasons other than its queue
}

// newCandidate returns what is known of a replica. The argument penalty is in additional
// requests in its queue, and assumed is the latency that stands for assumedLatency, to which
// the latencies in the statistics are scaled.
func newCandidate(s replicaStats, penalty float64, assumed time.Duration, now time.Time) candidate {
	c := candidate{age: loadLife, sent: s.InFlight, penalty: penalty}
	if load, age, ok := s.recentLoad(now); ok {
		c.load, c.reported, c.age = bounded(load), true, age
		c.sent = min(s.sentSinceLoad, s.InFlight)
	}
	expected := time.Duration(s.fadedLatency(now) / float64(assumedLatency) * float64(assumed))
	if s.Latency > 0 {
		c.latency = expected
	}
	if silent := now.Sub(s.lastProgress); s.InFlight > 0 && silent > stallFactor*expected {
		c.delay = max(silent, stalledPenalty*expected)
	}
	failures := float64(s.Failures) + failurePenalty*s.currentFailureRatio(now)
	c.delay += time.Duration(failures * float64(expected))
	return c
}

// recentLoad returns the load that the replica last reported and the age of the report. It
// reports false when there is none within loadLife.
func (s replicaStats) recentLoad(now time.Time) (ramp.ReplicaLoad, time.Duration, bool) {
	age := s.loadAge(now)
	if s.load.heardAt.IsZero() || age >= loadLife {
		return ramp.ReplicaLoad{}, 0, false
	}
	return s.load.ReplicaLoad, max(0, age), true
}

// bounded returns the load with each figure within its bounds.
func bounded(l ramp.ReplicaLoad) ramp.ReplicaLoad {
	l.Slots = min(max(1, l.Slots), maxReportedSlots)
	most := maxQueuePerSlot * l.Slots
	l.Running = min(max(0, l.Running), most)
	l.Waiting = min(max(0, l.Waiting), most-l.Running)
	if !(l.Slowdown > 0) { // also if it is not a number
		l.Slowdown = 1
	}
	l.Slowdown = min(max(1.0/maxCapacityRatio, l.Slowdown), maxCapacityRatio)
	return l
}

// balance chooses among the replicas of a service that report their load, where several
// daemons send to them. All daemons know the same old loads. If each preferred the replica
// that was least loaded, they would all choose the same one, which would be overloaded until
// the next report. So the choice is random, with the weights that lead to equal waits if all
// daemons choose by them (M. Dahlin, "Interpreting stale load information"): the requests
// that were probably sent since the reports are distributed so that they fill the shortest
// queues first. With fresh reports they are few and the shortest queue gets all; with old
// ones they are many, and each replica gets its part by its speed.
//
// It handles a load that all replicas together can carry; an excess is refused by admission.
// It is an immutable value.
type balance struct {
	senders    int           // daemons that send to the replicas, this one included
	assumed    time.Duration // latency if no candidate has replied; positive
	candidates []candidate   // never modified
}

// active reports whether the choice is made here: several daemons send, and a replica
// reported its load.
func (b balance) active() bool {
	return b.senders > 1 && slices.ContainsFunc(b.candidates, func(c candidate) bool { return c.reported })
}

// choose returns the index of a candidate. The argument point is random between 0 and 1.
func (b balance) choose(point float64) int { return draw(b.weights(), point) }

// draw returns the index at the given point, between 0 and 1, of the sum of the weights.
func draw(weights []float64, point float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	point *= total
	last := 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		if last = i; point < w {
			break
		}
		point -= w
	}
	return last
}

// pointStep is 2 to the 64th divided by the golden ratio. The fractional parts of its
// multiples are spread evenly.
const pointStep = 0x9E3779B97F4A7C15

// points is the state of a sequence of random points between 0 and 1, whose start is random
// and whose successive ones are spread evenly. So a daemon's requests deviate less from the
// weights than with independent points, while the sequences of different daemons are
// independent. The zero value has no start yet. It is an immutable value.
type points uint64

// next returns the state after one more point.
func (p points) next() points {
	if p == 0 {
		p = points(rand.Uint64())
	}
	return p + pointStep
}

// point returns the present point.
func (p points) point() float64 { return float64(p>>11) / (1 << 53) }

// weights returns the part of the next requests that each candidate should get. They are
// not negative, and their sum is positive.
func (b balance) weights() []float64 {
	usual := b.usual()
	waits, rates := make([]float64, len(b.candidates)), make([]float64, len(b.candidates))
	present, slots, own := 0.0, 0.0, 0 // at all candidates; own are the attempts of this daemon since the reports
	for i, c := range b.candidates {
		rates[i], waits[i] = usual.rate(c), usual.wait(c)
		present += usual.level * usual.slots(c)
		slots += usual.slots(c)
		own += c.sent
	}
	// Requests come at the rate at which those present end. The reports do not show a sudden
	// surge yet, but the other daemons probably sent as many as this one.
	sent := (1 - 1/float64(b.senders)) * present * min(float64(usual.age)/float64(usual.latency), maxUnseen)
	surge := min(float64(own*(b.senders-1)), maxUnseen*slots)
	return fill(waits, rates, 1+max(sent, surge))
}

// fill returns how many of the given number of requests each replica gets, so that the
// last requests of all that get any wait equally long and those of the others longer. Waits
// are the present ones, rates the requests that end per unit of time; they are positive.
func fill(waits, rates []float64, requests float64) []float64 {
	order := make([]int, len(waits))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(waits[i], waits[j]) })
	level, rate, work := 0.0, 0.0, requests // of the replicas filled so far; work is requests + the sum of wait * rate
	for n, i := range order {
		if n > 0 && waits[i] >= level {
			break
		}
		rate += rates[i]
		work += waits[i] * rates[i]
		level = work / rate
	}
	parts := make([]float64, len(waits))
	for i := range parts {
		parts[i] = max(0, level-waits[i]) * rates[i]
	}
	return parts
}

// usual is what is usual among the candidates for a choice, as medians. It is an immutable
// value.
type usual struct {
	level    float64       // requests at a replica for each of its slots
	slot     float64       // slots of a replica
	latency  time.Duration // average over replies; positive
	age      time.Duration // of the reports
	capacity float64       // slots of a replica over its slowdown
}

// usual returns what is usual among the candidates.
func (b balance) usual() usual {
	n := len(b.candidates)
	levels, slots, latencies := make([]float64, 0, n), make([]float64, 0, n), make([]float64, 0, n)
	ages, capacities := make([]float64, 0, n), make([]float64, 0, n)
	for _, c := range b.candidates {
		ages = append(ages, float64(c.age))
		if c.latency > 0 {
			latencies = append(latencies, float64(c.latency))
		}
		if c.reported {
			levels = append(levels, float64(c.load.Running+c.load.Waiting)/float64(c.load.Slots))
			slots = append(slots, float64(c.load.Slots))
			capacities = append(capacities, float64(c.load.Slots)/c.load.Slowdown)
		}
	}
	u := usual{
		level: median(levels), slot: median(slots), latency: time.Duration(median(latencies)),
		age: time.Duration(median(ages)), capacity: median(capacities),
	}
	if u.latency <= 0 {
		u.latency = b.assumed
	}
	return u
}

// median returns the median, the lower one of two, and 0 of no values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// slots returns the number of requests that the candidate works on at once.
func (u usual) slots(c candidate) float64 {
	if !c.reported {
		return u.slot
	}
	return float64(c.load.Slots)
}

// queueTrust returns how much the candidate's reported queue still says: 1 when it is new,
// falling towards 0. A deviation from the usual load lasts about as long as a request, or
// until the queue is worked off.
func (u usual) queueTrust(c candidate) float64 {
	if !c.reported {
		return 0
	}
	life := float64(u.latency) * max(1, float64(c.load.Running+c.load.Waiting)/float64(c.load.Slots))
	x := float64(c.age) / life
	return 1 / (1 + x + x*x)
}

// slowdown returns how much longer than usual the candidate works on a request: by its
// report when that is new, and by this daemon's own replies when it is old.
func (u usual) slowdown(c candidate) float64 {
	observed := 1.0
	if c.latency > 0 {
		ratio := float64(c.latency) / float64(u.latency)
		if ratio > noisyLatencyRatio || ratio < 1/noisyLatencyRatio {
			observed = min(max(1.0/maxCapacityRatio, ratio), maxCapacityRatio)
		}
	}
	if !c.reported {
		return observed
	}
	trust := 1 / (1 + float64(c.age)/float64(slowdownLife))
	return trust*c.load.Slowdown + (1-trust)*observed
}

// rate returns the number of requests that the candidate can end per nanosecond.
func (u usual) rate(c candidate) float64 {
	capacity := u.slots(c) / u.slowdown(c)
	capacity = min(max(u.capacity/maxCapacityRatio, capacity), u.capacity*maxCapacityRatio)
	return capacity / float64(u.latency)
}

// wait returns the time in nanoseconds until the candidate has ended the requests that it
// probably has now, and works one off.
func (u usual) wait(c candidate) float64 {
	trust := u.queueTrust(c)
	queue := (1 - trust) * u.level * u.slots(c)
	if c.reported {
		queue += trust * float64(c.load.Running+c.load.Waiting)
	}
	queue += float64(c.sent) + c.penalty
	return queue/u.rate(c) + u.slowdown(c)*float64(u.latency) + float64(c.delay)
}

// option is a replica that may get an attempt. It is an immutable value.
type option struct {
	registration registration
	stats        replicaStats
	health       ramp.Health
	expected     float64 // see [Picker.expectedLatency]
}

// balanced returns the index of the option that gets an attempt. It reports false when the
// service is not balanced by reported load. Only the options of the given health are
// considered.
func (p *Picker) balanced(
	request ramp.PickRequest, options []option, health ramp.Health, now time.Time,
) (chosen int, ok bool) {
	b := balance{senders: request.Senders, assumed: request.Latency}
	if b.assumed <= 0 {
		b.assumed = assumedLatency
	}
	indices := make([]int, 0, len(options)) // of the candidates among the options
	b.candidates = make([]candidate, 0, len(options))
	for i, o := range options {
		if o.health == health {
			indices = append(indices, i)
			penalty := p.queuePenalty(o.registration, o.stats, now)
			b.candidates = append(b.candidates, newCandidate(o.stats, penalty, b.assumed, now))
		}
	}
	if !b.active() {
		return 0, false
	}
	at := p.points.Update(request.Service, points.next)
	return indices[b.choose(at.point())], true
}
