package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Grace periods of replicas that are about to leave the service. The drain bound counts
// from the store's acknowledgement of the change, so a grace period that starts when the
// change is found also ends with the bound, see [gracePeriods.end].
const (
	// deregisteredGrace is how long an entry may be missing before its replica counts
	// as gone: the platform guarantees that entries whose leases expired during an
	// outage of the store are registered again within two seconds.
	deregisteredGrace = 2 * time.Second
	// deregisteredShare caps deregisteredGrace as a share of the drain bound, which
	// also holds for replicas that leave by deleting their entry.
	deregisteredShare = 2.0 / 3
	// drainingShare is the share of the drain bound for which a draining replica still
	// serves when no other does.
	drainingShare = 1.0 / 3
	// arrivalShare is the share of the drain bound that is reserved for a request on its
	// way to the replica.
	arrivalShare = 1.0 / 20
)

// registration is a replica as registered in the store. It is an immutable value.
type registration struct {
	ramp.Instance
	readAt        time.Time // when the entry was read
	removedUntil  time.Time // end of the grace period after its entry was found deleted; zero while it exists
	drainingUntil time.Time // end of the grace period after it was first seen to drain; zero for never
	grace         gracePeriods
}

// gracePeriods are how long a replica may still get requests while it leaves. They are
// an immutable value.
type gracePeriods struct {
	deregistered time.Duration // after its entry was found deleted; positive
	draining     time.Duration // after it was first seen to drain; positive
	bound        time.Duration // after the store acknowledged either; positive
}

// newGracePeriods returns the grace periods under a drain bound.
func newGracePeriods(drainBound time.Duration) gracePeriods {
	return gracePeriods{
		deregistered: min(deregisteredGrace, time.Duration(deregisteredShare*float64(drainBound))),
		draining:     time.Duration(drainingShare * float64(drainBound)),
		bound:        time.Duration((1 - arrivalShare) * float64(drainBound)),
	}
}

// end returns the end of a grace period for a change that was found now, and that the
// store acknowledged no earlier than notBefore.
func (g gracePeriods) end(grace time.Duration, notBefore, now time.Time) time.Time {
	end := now.Add(grace)
	if bound := notBefore.Add(g.bound); bound.Before(end) {
		return bound
	}
	return end
}

// withInstance returns the registration after its entry was written again. The argument
// departedUntil is the end of the grace period that this start of the replica was granted
// before, or zero.
func (r registration) withInstance(i ramp.Instance, departedUntil, notBefore, now time.Time) registration {
	next := registration{Instance: i, readAt: now, grace: r.grace}
	switch {
	case i.State != ramp.Leaving:
	case !departedUntil.IsZero():
		next.drainingUntil = departedUntil
	case i.SameStart(r.Instance) && !r.drainingUntil.IsZero():
		next.drainingUntil = r.drainingUntil // the departure was forgotten
	case !i.SameStart(r.Instance):
		// Its first entry that was seen says draining. The store may have acknowledged an
		// earlier one that said so at any time.
		next.drainingUntil = now
	default:
		next.drainingUntil = r.grace.end(r.grace.draining, notBefore, now)
	}
	return next
}

// withRemoval returns the registration after its entry was deleted.
func (r registration) withRemoval(notBefore, now time.Time) registration {
	if r.removedUntil.IsZero() {
		r.removedUntil = r.grace.end(r.grace.deregistered, notBefore, now)
	}
	return r
}

// withLeavingSince returns the registration of a replica that itself said that it leaves,
// unless its entry said so earlier. The time is zero if it did not.
func (r registration) withLeavingSince(at time.Time) registration {
	if until := at.Add(r.grace.draining); !at.IsZero() && (r.drainingUntil.IsZero() || until.Before(r.drainingUntil)) {
		r.drainingUntil = until
	}
	return r
}

// health returns the replica's health by its registration. It reports false when the
// replica must get no requests.
func (r registration) health(now time.Time) (ramp.Health, bool) {
	switch {
	case !r.drainingUntil.IsZero():
		return ramp.HealthDraining, now.Before(r.drainingUntil)
	case !r.removedUntil.IsZero():
		return ramp.HealthDeregistered, now.Before(r.removedUntil)
	}
	return ramp.HealthOK, true
}

// expired reports whether the registration can be evicted.
func (r registration) expired(now time.Time) bool {
	return !r.removedUntil.IsZero() && !now.Before(r.removedUntil)
}

// Instances keeps the replicas of each service as registered in the store. It implements
// [ramp.InstanceTracker].
type Instances struct {
	clock       ramp.Clock
	grace       gracePeriods
	services    *ramp.Table[string, []registration] // by service name, sorted by replica id; slices are never modified
	serviceByID *ramp.Table[string, string]         // service name by replica id
	evacuated   *ramp.Table[string, evacuations]    // a single entry under the key ""
	departures  departures
}

// NewInstances returns an empty registry. A leaving replica must get no new requests
// once drainBound has passed.
func NewInstances(drainBound time.Duration, clock ramp.Clock) *Instances {
	return &Instances{
		clock:       clock,
		grace:       newGracePeriods(drainBound),
		services:    ramp.NewTable[string, []registration](ramp.RankLayouts),
		serviceByID: ramp.NewTable[string, string](ramp.RankLayouts),
		evacuated:   ramp.NewTable[string, evacuations](ramp.RankLayouts),
		departures:  newDepartures(),
	}
}

// Update implements [ramp.InstanceTracker]. An entry older than the stored one has no
// effect.
func (s *Instances) Update(i ramp.Instance, notBefore time.Time) bool {
	now := s.clock.Now()
	if earlier, known := s.serviceByID.Get(i.ID); known && earlier != i.Service {
		s.services.Update(earlier, func(old []registration) []registration { return withoutID(old, i.ID) })
	}
	if s.departures.drained(i) {
		i.State = ramp.Leaving // a restored store may have an earlier entry again
	}
	changed := false
	departedUntil := s.departures.until(i)
	var current registration
	s.services.Update(i.Service, func(old []registration) []registration {
		at, found := findByID(old, i.ID)
		if !found {
			changed = true
			current = registration{grace: s.grace}.withInstance(i, departedUntil, notBefore, now)
			return slices.Insert(slices.Clone(old), at, current)
		}
		if !i.Newer(old[at].Instance) {
			return old
		}
		changed = old[at].State != i.State || !old[at].SameStart(i) || !old[at].removedUntil.IsZero()
		next := slices.Clone(old)
		current = old[at].withInstance(i, departedUntil, notBefore, now)
		next[at] = current
		return next
	})
	s.serviceByID.Put(i.ID, i.Service)
	if !current.drainingUntil.IsZero() {
		s.departures.record(current.Instance, current.drainingUntil, now)
	}
	return changed
}

// MarkRemoved implements [ramp.InstanceTracker].
func (s *Instances) MarkRemoved(id string, notBefore time.Time) bool {
	now := s.clock.Now()
	service, known := s.serviceByID.Get(id)
	if !known {
		return false
	}
	var removed registration
	s.services.Update(service, func(old []registration) []registration {
		at, found := findByID(old, id)
		if !found {
			return old
		}
		next := slices.Clone(old)
		removed = old[at].withRemoval(notBefore, now)
		next[at] = removed
		return next
	})
	if !removed.removedUntil.IsZero() {
		s.departures.record(removed.Instance, removed.removedUntil, now)
	}
	return true
}

// Departed implements [ramp.InstanceTracker].
func (s *Instances) Departed(i ramp.Instance) bool { return s.departures.departed(i) }

// Expire evicts the replicas whose entries have been missing for longer than the grace
// period, and returns them.
func (s *Instances) Expire() []ramp.Instance {
	now := s.clock.Now()
	var expired []ramp.Instance
	s.services.Each(func(_ string, all []registration) bool {
		for i := range all {
			if all[i].expired(now) {
				expired = append(expired, all[i].Instance)
			}
		}
		return true
	})
	for _, d := range expired {
		s.serviceByID.Delete(d.ID)
		s.services.Update(d.Service, func(old []registration) []registration { return withoutID(old, d.ID) })
	}
	s.departures.expire(now)
	s.evacuated.UpdateExisting("", func(old evacuations) evacuations { return old.withoutExpired(now) })
	return expired
}

// Count returns the number of registered replicas.
func (s *Instances) Count() int { return s.serviceByID.Len() }

// ofService returns the replicas of a service. The caller must not modify them.
func (s *Instances) ofService(service string) []registration {
	all, _ := s.services.Get(service)
	return all
}

// all returns the replicas of all services, sorted by service and id.
func (s *Instances) all() []registration {
	var every []registration
	s.services.Each(func(_ string, all []registration) bool {
		every = append(every, all...)
		return true
	})
	slices.SortFunc(every, func(a, b registration) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return every
}

func findByID(all []registration, id string) (int, bool) {
	return slices.BinarySearchFunc(all, id, func(r registration, id string) int { return strings.Compare(r.ID, id) })
}

func withoutID(all []registration, id string) []registration {
	return slices.DeleteFunc(slices.Clone(all), func(r registration) bool { return r.ID == id })
}
