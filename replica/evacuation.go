package replica

import (
	"maps"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Times of the return of load to a failure domain after its evacuation.
const (
	defaultReturnTime = 5 * time.Second // for services without a warm-up time
	maxReturnTime     = time.Hour
)

// evacuations are the failure domains that are evacuated, and those that were until
// lately. They are an immutable value.
type evacuations struct {
	evacuated map[string]bool      // never modified
	ended     map[string]time.Time // end of the evacuation by domain; never modified
}

// withState returns the evacuations after the start or the end of that of a domain.
func (e evacuations) withState(domain string, evacuated bool, now time.Time) evacuations {
	next := evacuations{evacuated: maps.Clone(e.evacuated), ended: maps.Clone(e.ended)}
	if next.evacuated == nil {
		next.evacuated, next.ended = make(map[string]bool), make(map[string]time.Time)
	}
	if evacuated {
		next.evacuated[domain] = true
		delete(next.ended, domain)
		return next
	}
	delete(next.evacuated, domain)
	next.ended[domain] = now
	return next
}

// withoutExpired returns the evacuations without those that ended maxReturnTime ago.
func (e evacuations) withoutExpired(now time.Time) evacuations {
	expired := func(_ string, ended time.Time) bool { return now.Sub(ended) >= maxReturnTime }
	for domain, ended := range e.ended {
		if !expired(domain, ended) {
			continue
		}
		next := evacuations{evacuated: e.evacuated, ended: maps.Clone(e.ended)}
		maps.DeleteFunc(next.ended, expired)
		return next
	}
	return e
}

// share returns the share of its usual requests that a domain may get, from 0 to 1, if
// load returns to it over the given time after its evacuation. It grows evenly from the
// end of the evacuation on.
func (e evacuations) share(domain string, over time.Duration, now time.Time) float64 {
	if e.evacuated[domain] {
		return 0
	}
	ended, returns := e.ended[domain]
	if !returns {
		return 1
	}
	return min(1, float64(now.Sub(ended))/float64(over))
}

// SetEvacuated implements [ramp.InstanceTracker]. It takes effect at once, so that the time
// in which the daemon learns of an evacuation is all that counts towards its bound.
func (s *Instances) SetEvacuated(domain string, evacuated bool, _ time.Time) bool {
	now := s.clock.Now()
	changed := false
	s.evacuated.Update("", func(old evacuations) evacuations {
		if changed = old.evacuated[domain] != evacuated; changed {
			return old.withState(domain, evacuated, now)
		}
		return old
	})
	return changed
}

// Evacuated returns the failure domains that are evacuated, sorted.
func (s *Instances) Evacuated() []string {
	return slices.Sorted(maps.Keys(s.evacuations().evacuated))
}

func (s *Instances) evacuations() evacuations {
	e, _ := s.evacuated.Get("")
	return e
}

// returnTime returns the time over which load returns to the replicas of a service after
// an evacuation.
func returnTime(w ramp.Warmup) time.Duration {
	if w.Duration <= 0 {
		return defaultReturnTime
	}
	return min(w.Duration, maxReturnTime)
}
