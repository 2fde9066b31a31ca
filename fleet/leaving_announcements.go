package fleet

import (
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// announceTime is how long a daemon includes a leaving backend server in its
// gossip messages.
const announceTime = 10 * time.Second

// LeavingAnnouncements records when this daemon first knew that a backend
// server leaves. A daemon announces each one for [announceTime] only, which
// keeps gossip messages small.
type LeavingAnnouncements struct {
	firstSeen *ramp.Table[string, time.Time] // by VM id
}

// NewLeavingAnnouncements returns an empty table.
func NewLeavingAnnouncements() *LeavingAnnouncements {
	return &LeavingAnnouncements{firstSeen: ramp.NewTable[string, time.Time](ramp.RankLayouts)}
}

// recent returns the ids in leaving that became known within [announceTime].
func (l *LeavingAnnouncements) recent(leaving []string, now time.Time) []string {
	listed := make(map[string]bool, len(leaving))
	var recent []string
	for _, id := range leaving {
		listed[id] = true
		first := l.firstSeen.Update(id, func(old time.Time) time.Time {
			if old.IsZero() {
				return now
			}
			return old
		})
		if now.Sub(first) <= announceTime {
			recent = append(recent, id)
		}
	}
	l.firstSeen.DeleteFunc(func(id string, _ time.Time) bool { return !listed[id] })
	return recent
}
