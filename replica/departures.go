package replica

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Lifetime and bound of departures.
const (
	// departureLife is how long a departure is remembered after the last entry or removal that
	// confirmed it. A replica that drains exits within seconds to minutes.
	departureLife = 10 * time.Minute
	maxDepartures = 1 << 14 // departures remembered at once
)

// startKey identifies a start of a replica.
type startKey struct {
	id            string
	startedMillis int64
	address       string
}

func startOf(i ramp.Instance) startKey {
	return startKey{id: i.ID, startedMillis: i.StartedMillis, address: i.Address}
}

// departure records that a start of a replica was seen to drain, or that its entry was found
// deleted. It is an immutable value.
type departure struct {
	until     time.Time // end of the grace period that was granted at that time
	confirmed time.Time // when it was last seen
	sequence  uint64    // of the start's last entry
	draining  bool      // an entry said that it drains
}

// departures remembers the departures of starts longer than their registrations, which
// expire soon after their entries are deleted. A start whose entry is written again is
// thus not granted another grace period.
type departures struct {
	table *ramp.Table[startKey, departure]
}

func newDepartures() departures {
	return departures{table: ramp.NewTable[startKey, departure](ramp.RankLayouts)}
}

// until returns the end of the grace period that the start was granted, or zero if it was
// granted none.
func (s departures) until(i ramp.Instance) time.Time {
	d, _ := s.table.Get(startOf(i))
	return d.until
}

// departed reports whether the entry is no later than one of the same start that departed.
func (s departures) departed(i ramp.Instance) bool {
	d, known := s.table.Get(startOf(i))
	return known && i.Sequence <= d.sequence
}

// drained reports whether the entry is no later than one of the same start that drained.
func (s departures) drained(i ramp.Instance) bool {
	d, _ := s.table.Get(startOf(i))
	return d.draining && i.Sequence <= d.sequence
}

// record remembers the end of the grace period of a start, or confirms the one that it was
// granted before. A departure beyond maxDepartures is not remembered.
func (s departures) record(i ramp.Instance, until, now time.Time) {
	key := startOf(i)
	if _, known := s.table.Get(key); !known && s.table.Len() >= maxDepartures {
		return
	}
	s.table.Update(key, func(old departure) departure {
		if !old.until.IsZero() {
			until = old.until
		}
		return departure{
			until: until, confirmed: now, sequence: max(old.sequence, i.Sequence),
			draining: old.draining || i.State == ramp.Leaving,
		}
	})
}

// expire forgets the departures that have not been confirmed for departureLife.
func (s departures) expire(now time.Time) {
	s.table.DeleteFunc(func(_ startKey, d departure) bool { return now.Sub(d.confirmed) >= departureLife })
}
