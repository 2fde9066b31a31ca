package replica

import "time"

// SetEvacuated implements [ramp.InstanceTracker].
func (s *Instances) SetEvacuated(domain string, evacuated bool, _ time.Time) bool {
	changed := false
	s.evacuated.Update(domain, func(old bool) bool {
		changed = old != evacuated
		return evacuated
	})
	return changed
}
