package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Parameters of the shares of the rates of cold replicas.
const (
	// coldSettleTime is how long a list of members counts after it was replaced. It is longer
	// than the time within which all daemons in touch learn of a change.
	coldSettleTime = 3 * time.Second
	// coldCheckInterval is the time between two looks at the members.
	coldCheckInterval = 100 * time.Millisecond
	maxColdLists      = 8 // lists of members that count at once; of more, the newest ones
	// coldSpan is the time whose requests may reach a replica within one second, in seconds:
	// a request whose connection is opened takes up to 300 ms longer than another one.
	coldSpan = 1.3
	// coldReserve is the share of the bound that is left for what members see differently.
	coldReserve = 0.1
	// coldDelegateShare is the part of the rate of a replica that the delegate of its service
	// and failure domain has, since it sends it most of its requests.
	coldDelegateShare = 0.8
	// minColdShare is the least part of the bound that is used as a rate, if not even one
	// request fits into the bound.
	minColdShare = 0.25
)

// coldMembers are lists of members that count for the shares of cold replicas. They are an
// immutable value.
type coldMembers struct {
	lists     []coldList // oldest first, the last one is current; never modified
	checkedAt time.Time
}

// coldList is a list of members. It is an immutable value.
type coldList struct {
	daemons    []hashedDaemon // sorted by id; never modified
	replacedAt time.Time      // zero for the current list
}

// hashedDaemon is a daemon with the hash of its incarnation.
type hashedDaemon struct {
	ramp.Daemon
	hash uint64
}

func newColdList(daemons []ramp.Daemon) coldList {
	hashed := make([]hashedDaemon, len(daemons))
	for i, d := range daemons {
		hashed[i] = hashedDaemon{Daemon: d, hash: ramp.HashKey(d.Incarnation)}
	}
	return coldList{daemons: hashed}
}

// withList returns the lists after a look at the members. Lists that were replaced more than
// coldSettleTime ago are left out. Before the first one the daemon had no share.
func (m coldMembers) withList(daemons []ramp.Daemon, now time.Time) coldMembers {
	next := coldMembers{checkedAt: now}
	lists := m.lists
	if len(lists) == 0 {
		lists = []coldList{{}}
	}
	current := lists[len(lists)-1]
	changed := !slices.EqualFunc(current.daemons, daemons, func(a hashedDaemon, b ramp.Daemon) bool {
		return a.Incarnation == b.Incarnation
	})
	for i, l := range lists {
		if changed && i == len(lists)-1 {
			l.replacedAt = now
		}
		if l.replacedAt.IsZero() || now.Sub(l.replacedAt) < coldSettleTime {
			next.lists = append(next.lists, l)
		}
	}
	if changed {
		next.lists = append(next.lists, newColdList(daemons))
	}
	next.lists = next.lists[max(0, len(next.lists)-maxColdLists):]
	return next
}

// ColdShares divides the rates of cold replicas among the members of the fleet, without any
// message between them. It implements [ramp.ColdSharer].
//
// It holds at any load: in one second, all daemons together send at most what the bounds
// allow, since each holds at most one token and few have a share. A share that rises counts
// once the list of members has been the same for coldSettleTime, one that falls at once.
type ColdShares struct {
	self      ramp.Daemon
	members   *Members
	bounds    ramp.WarmupBounds
	inTouch   func() bool // reports whether other daemons count this one as a member
	fleetSize func() int  // returns the number of daemons that may be there; some may not be known
	clock     ramp.Clock
	lists     *ramp.Table[string, coldMembers] // a single entry under the key ""
}

// NewColdShares returns the shares of a daemon that knows no member yet.
func NewColdShares(
	self ramp.Daemon, members *Members, bounds ramp.WarmupBounds, inTouch func() bool, fleetSize func() int,
	clock ramp.Clock,
) *ColdShares {
	return &ColdShares{
		self: self, members: members, bounds: bounds, inTouch: inTouch, fleetSize: fleetSize, clock: clock,
		lists: ramp.NewTable[string, coldMembers](ramp.RankDaemons),
	}
}

// Run looks at the members until ctx ends, so that the share of a replica that becomes cold
// is known at once.
func (s *ColdShares) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.current()
		_ = ramp.Sleep(ctx, s.clock, expirePeriod)
	}
}

// ColdRate implements [ramp.ColdSharer].
func (s *ColdShares) ColdRate(i ramp.Instance, limit ramp.ColdLimit) float64 {
	if !s.inTouch() {
		return 0
	}
	lists := s.current().lists
	size, grouped := s.fleetSize(), limit.Collected && s.members.members.Len() > smallFleet
	lowest := limit.Rate
	for _, l := range lists {
		lowest = min(lowest, l.rate(s.self, i, limit.Rate, s.bounds, size, grouped))
	}
	return lowest
}

// current returns the lists of members that count now.
func (s *ColdShares) current() coldMembers {
	now := s.clock.Now()
	known, _ := s.lists.Get("")
	if len(known.lists) > 0 && now.Sub(known.checkedAt) < coldCheckInterval {
		return known
	}
	daemons := s.members.All()
	return s.lists.Update("", func(old coldMembers) coldMembers { return old.withList(daemons, now) })
}

// rate returns the requests per second that a daemon may send to the cold replica under a
// list of members, which has at least the given size.
func (l coldList) rate(
	self ramp.Daemon, i ramp.Instance, rate float64, bounds ramp.WarmupBounds, size int, grouped bool,
) float64 {
	users, rate := coldUsers(rate, bounds)
	users = min(users, max(size, len(l.daemons)))
	rank, listed := l.rank(self, i, grouped)
	switch {
	case !listed || rank >= users:
		return 0
	case users == 1:
		return rate
	case !grouped:
		return rate / float64(users)
	case rank == 0:
		return coldDelegateShare * rate
	}
	return (1 - coldDelegateShare) * rate / float64(users-1)
}

// rank returns the daemon's position in the order in which daemons get a share of the
// replica's rate. Daemons in its failure domain come first; with grouped set, the first of
// them is the delegate of the service.
func (l coldList) rank(self ramp.Daemon, i ramp.Instance, grouped bool) (rank int, listed bool) {
	key := ramp.HashKey(i.ID)
	if grouped {
		key = ramp.HashKey(i.Service)
	}
	remote := func(d ramp.Daemon) int {
		if d.Domain == i.Domain {
			return 0
		}
		return 1
	}
	own := mixHashes(key, ramp.HashKey(self.Incarnation))
	for _, d := range l.daemons {
		if d.Incarnation == self.Incarnation {
			listed = true
			continue
		}
		before := cmp.Or(
			cmp.Compare(remote(d.Daemon), remote(self)), cmp.Compare(own, mixHashes(key, d.hash)),
			cmp.Compare(d.Incarnation, self.Incarnation),
		)
		if before < 0 {
			rank++
		}
	}
	return rank, listed
}

// coldUsers returns how many daemons may send requests to a cold replica, each of which may
// hold one token, and how many requests per second they may send together.
func coldUsers(rate float64, bounds ramp.WarmupBounds) (users int, total float64) {
	bound := rate*max(1, bounds.Overshoot) + bounds.Slack
	usable := (1 - coldReserve) * bound
	if users = int(usable - coldSpan*rate); users >= 1 {
		return users, rate
	}
	return 1, min(rate, max((usable-1)/coldSpan, minColdShare*bound))
}
