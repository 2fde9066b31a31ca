package fleet

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/platform"
	"sycamoreramp.example/sycamoreramp/replica"
)

const (
	daemons    = 3
	lookPeriod = time.Second // between looks at the answers about addresses
)

// tick is a clock that the test moves.
type tick struct{ now time.Time }

func (c *tick) Now() time.Time { return c.now }

func (c *tick) AfterFunc(d time.Duration, f func()) (stop func()) {
	if d <= 0 {
		f()
	}
	return func() {}
}

// entry is a daemon with the real follower, lists and members. The test takes
// its rounds one after another.
type entry struct {
	*Follower
	index   int
	all     []*entry
	cut     [daemons]bool // no calls between this daemon and the other
	leaving chan struct{}
	record  registration
}

// round does what the follower's goroutines do, each once.
func (e *entry) round(ctx context.Context) {
	e.record = e.tenure().renew(ctx, e.record)
	after := e.Roster.Revision()
	if members, current, err := e.Registry.WatchMembers(ctx, after, 0); err == nil {
		e.applyMembers(ramp.MemberChange{FromRevision: after, ToRevision: current, Members: members})
	}
	if lists, _, err := e.Registry.WatchLists(ctx, 0, 0); err == nil {
		e.confirm(lists, lists.Version, e.Clock.Now())
	}
	e.refreshMembers()
	e.Members.Hear(e.self())
	for _, d := range e.partners() {
		e.exchange(ctx, d)
	}
}

// Gossip implements ramp.Peers.
func (e *entry) Gossip(_ context.Context, to ramp.Daemon, news ramp.GossipMessage) (ramp.GossipMessage, error) {
	for _, other := range e.all {
		if other.Self.Incarnation != to.Incarnation || e.cut[other.index] || other.cut[e.index] {
			continue
		}
		return other.Answer(news), nil
	}
	return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Cause: errors.New("no reply")}
}

// Forward implements ramp.Peers.
func (e *entry) Forward(context.Context, ramp.Daemon, ramp.Ticket, ramp.Query) (a ramp.Answer, err error) {
	return a, err
}

// fault is what happens at a time to a daemon's way to the store or to another
// daemon.
type fault struct {
	at    time.Duration // since the leaving daemon started to leave
	kind  string
	index int
	other int
}

func (f fault) apply(s *standin.Store, all []*entry) {
	name := fmt.Sprint("d", f.index)
	switch f.kind {
	case "outage":
		s.SetFault("", standin.Fault{Down: true})
	case "down":
		s.SetFault(name, standin.Fault{Down: true})
	case "lose":
		s.SetFault(name, standin.Fault{Lose: 2})
	case "cut", "join":
		all[f.index].cut[f.other] = f.kind == "cut"
	case "alone": // from everything, like a paused daemon
		s.SetFault(name, standin.Fault{Down: true})
		for i := range all {
			all[f.index].cut[i] = true
		}
	case "back":
		s.SetFault(name, standin.Fault{})
		s.SetFault("", standin.Fault{})
		for i := range all {
			all[f.index].cut[i] = false
		}
	}
}

// lastNamed lets daemon 0 leave and returns for how long after that any daemon
// that answers callers named it.
func lastNamed(faults []fault) (last time.Duration) {
	ctx := context.Background()
	clock := &tick{now: time.Unix(0, 0)}
	store := standin.NewStore(clock)
	all := make([]*entry, daemons)
	for i := range all {
		all[i] = newEntry(store, clock, i)
		defer all[i].Pool.Close()
	}
	lists := ramp.Lists{}.WithVersion(1, "edit", "test")
	_ = platform.Registry{Store: store.For("operator")}.SwapLists(ctx, lists, 0)
	for now := -2 * lookPeriod; now <= NoticeTime+lookPeriod; now += lookPeriod {
		if now == 0 {
			close(all[0].leaving)
		}
		for _, f := range faults {
			if f.at == now {
				f.apply(store, all)
			}
		}
		for _, e := range all {
			e.all = all
			e.round(ctx)
			if slices.Contains(e.Members.Addresses(""), all[0].Self.CallerAddress) && e.Lists.Check(clock.now) == nil {
				last = now
			}
		}
		clock.now = clock.now.Add(lookPeriod)
	}
	return last
}

func newEntry(store *standin.Store, clock ramp.Clock, i int) *entry {
	name := fmt.Sprint("d", i)
	client := store.For(name)
	reach := NewReach()
	e := &entry{index: i, leaving: make(chan struct{})}
	self := ramp.Daemon{
		ID: name, Incarnation: name + "-1", Domain: name, CallerAddress: name + ":1", PeerAddress: name + ":2",
	}
	e.Follower = &Follower{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Self: self, Registry: platform.Registry{Store: client},
		VMs: client, Peers: e, Pool: ramp.NewPool(1, 1), Lists: NewLists(clock, reach), Reach: reach, Roster: NewRoster(),
		Members: NewMembers(self, clock), Layouts: replica.NewLayouts(clock), Departures: NewDepartures(),
		Used: func() []ramp.Usage { return nil }, Shared: func(ramp.GossipMessage) {}, Leaving: e.leaving,
	}
	return e
}

// TestLeaveScripts compares two ways to shut down: at once, and when all answers
// about addresses have run out.
func TestLeaveScripts(t *testing.T) {
	var b strings.Builder
	for _, script := range []struct {
		name   string
		faults []fault
	}{
		{"no fault", nil},
		{"the store is down", []fault{{0, "outage", 0, 0}}},
		{"the store is down and a daemon is cut from the leaving one", []fault{{0, "outage", 0, 0}, {0, "cut", 0, 1}}},
		{"a daemon is cut from everything", []fault{{0, "alone", 1, 0}}},
		{"the leaving one is cut from everything", []fault{{0, "alone", 0, 0}}},
	} {
		named := lastNamed(script.faults)
		for _, way := range []struct {
			name   string
			linger time.Duration
		}{
			{"at once", 0},
			{"after NoticeTime and AddressLife", NoticeTime + AddressLife},
		} {
			verdict := "ok"
			if named+AddressLife > way.linger {
				verdict = "VIOLATION: callers come after it has closed"
			}
			fmt.Fprintf(&b, "%s / close %s: %s\n", script.name, way.name, verdict)
		}
	}
	golden.Check(t, "leave", b.String())
}

// atOnce is the number of schedules of one check, which run side by side.
const atOnce = 8

// TestLeaveSchedules draws schedules of faults around the shutdown of a
// daemon. No daemon may name it to callers after NoticeTime.
func TestLeaveSchedules(t *testing.T) {
	_ = flag.Set("rapid.checks", leaveChecks)
	defer func() { _ = flag.Set("rapid.checks", "1000") }()
	kinds := []string{"outage", "down", "lose", "cut", "cut", "join", "alone", "back", "back"}
	schedule := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) fault {
		return fault{
			at:    time.Duration(rapid.IntRange(0, 12).Draw(r, "period")) * lookPeriod,
			kind:  rapid.SampledFrom(kinds).Draw(r, "kind"),
			index: rapid.IntRange(0, daemons-1).Draw(r, "daemon"),
			other: rapid.IntRange(0, daemons-1).Draw(r, "other"),
		}
	}), 0, 8)
	rapid.Check(t, func(r *rapid.T) {
		schedules := rapid.SliceOfN(schedule, atOnce, atOnce).Draw(r, "schedules")
		var named [atOnce]time.Duration
		var running sync.WaitGroup
		for i := range named {
			running.Go(func() { named[i] = lastNamed(schedules[i]) })
		}
		running.Wait()
		for i := range named {
			if named[i] > NoticeTime {
				r.Fatalf("callers were sent to a leaving daemon %v after it started to leave: %v", named[i], schedules[i])
			}
		}
	})
}
