package fleet

import (
	"cmp"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// localLimitShare is the part of a replica's rate limit that the daemons in its own
// failure domain have together, since they send it most of its requests. The others have
// the rest.
const localLimitShare = 0.7

// Parameters of the requests that daemons send beyond their rates. The platform accepts at
// least probesPerWindow of them in each probeWindow, and more with a higher limit.
const (
	probesPerWindow  = 5
	probeWindow      = 4 * time.Second
	probeShare       = 0.5 // part of the accepted ones that the daemons send together
	minProbeInterval = 5 * time.Second
)

// LimitShares divides the rate limits of replicas among the members of the fleet, without
// any message between them. A daemon keeps at least one request in hand, so a limit is
// divided among no more daemons than it allows requests per second. It implements
// [ramp.LimitSharer].
type LimitShares struct {
	Self      ramp.Daemon
	Members   *Members
	FleetSize func() int // returns the number of daemons that may be there; some may not be known
}

// Share implements [ramp.LimitSharer].
func (l LimitShares) Share(r ramp.Replica, limit float64) ramp.LimitShare {
	rank, local, total := l.position(r)
	probesPerSecond := probeShare * (limit + probesPerWindow) / probeWindow.Seconds()
	interval := time.Duration(float64(total) / probesPerSecond * float64(time.Second))
	return ramp.LimitShare{Rate: rateOf(rank, local, total, limit), ProbeInterval: max(minProbeInterval, interval)}
}

// rateOf returns the rate of the daemon at the given position, see [LimitShares.position].
func rateOf(rank, local, total int, limit float64) float64 {
	users := min(max(1, int(limit)), total)
	localUsers := min(local, users)
	remoteUsers := users - localUsers
	switch {
	case rank >= users:
		return 0
	case localUsers == 0 || remoteUsers == 0:
		return limit / float64(users)
	case rank < localUsers:
		return localLimitShare * limit / float64(localUsers)
	}
	return (1 - localLimitShare) * limit / float64(remoteUsers)
}

// position returns this daemon's position in the order in which daemons get a share of the
// replica's limit, the number of daemons in the replica's failure domain, and that of all
// daemons. Daemons in the replica's domain come first. The order differs by replica, so
// that not the same daemons are without a share everywhere.
func (l LimitShares) position(r ramp.Replica) (rank, local, total int) {
	remote := func(d ramp.Daemon) int {
		if d.Domain == r.Domain {
			return 0
		}
		return 1
	}
	local, total = 1-remote(l.Self), 1
	for _, d := range l.Members.All() {
		if d.Incarnation == l.Self.Incarnation {
			continue
		}
		total++
		local += 1 - remote(d)
		before := cmp.Or(
			cmp.Compare(remote(d), remote(l.Self)),
			cmp.Compare(rendezvousHash(d, r.ID), rendezvousHash(l.Self, r.ID)),
			cmp.Compare(d.Incarnation, l.Self.Incarnation),
		)
		if before < 0 {
			rank++
		}
	}
	return rank, local, max(total, l.FleetSize())
}
