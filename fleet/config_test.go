//go:build !lockorder

package fleet

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
	"sycamoreramp.example/sycamoreramp/internal/standin"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/platform"
)

// Times of a schedule.
const (
	configTick  = 500 * time.Millisecond
	configStart = 12 * time.Second // before the first fault
	configSpan  = 30 * time.Second // within which faults begin
	configCalm  = 15 * time.Second // without faults at the end
	configFault = 25 * time.Second // longest fault
	inForceIn   = 10 * time.Second
	configHosts = 4
)

// disturbance is a fault of a schedule.
type disturbance struct {
	kind       string
	host       int // the daemon it is for; of some kinds
	from, till time.Duration
}

func (d disturbance) at(now time.Duration) bool { return d.from <= now && now < d.till }

// edit is an operator's change of the lists.
type edit struct {
	at     time.Duration
	racing bool // another operator's edit comes in the middle of it
	faults int  // replies lost by it
}

type schedule struct {
	faults []disturbance
	edits  []edit
}

var faultKinds = []string{"outage", "stale", "storecut", "peercut", "cut", "freeze", "restart", "restartall"}

func drawSchedule(t *rapid.T) schedule {
	var s schedule
	moment := rapid.Custom(func(t *rapid.T) time.Duration {
		return configStart + configTick*time.Duration(rapid.IntRange(0, int(configSpan/configTick)).Draw(t, "at"))
	})
	for range rapid.IntRange(1, 5).Draw(t, "faults") {
		from := moment.Draw(t, "from")
		s.faults = append(s.faults, disturbance{
			kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"), host: rapid.IntRange(0, configHosts-1).Draw(t, "host"),
			from: from, till: from + configTick*time.Duration(rapid.IntRange(1, int(configFault/configTick)).Draw(t, "length")),
		})
	}
	for range rapid.IntRange(1, 5).Draw(t, "edits") {
		s.edits = append(s.edits, edit{
			at: moment.Draw(t, "edit"), racing: rapid.Bool().Draw(t, "racing"),
			faults: rapid.IntRange(0, 3).Draw(t, "lost"),
		})
	}
	return s
}

// parts are what a run can replace by a naive implementation.
type parts struct {
	keeper func(ramp.Clock, *Reach) ramp.ListsCache
	mute   bool // daemons exchange no news
	edit   func(ctx context.Context, r ramp.Registry, c ramp.Clock, next ramp.Lists, base uint64, id string) error
}

// applied edits as the tool does.
func applied(ctx context.Context, r ramp.Registry, c ramp.Clock, next ramp.Lists, base uint64, id string) error {
	_, err := operator.Editor{Registry: r, Clock: c}.Apply(ctx, next, base, id, "test")
	return err
}

func goodParts() parts {
	return parts{edit: applied, keeper: func(c ramp.Clock, r *Reach) ramp.ListsCache { return NewLists(c, r) }}
}

// host runs one incarnation of a daemon after another.
type host struct {
	*Follower
	index  int
	starts int
	read   listsRead
	lease  registration
	wake   []func() // what waits for a frozen daemon
	frozen bool
	since  time.Duration // start of the incarnation
	saw    sight
	served time.Duration // when it first had lists; 0 before
}

// rig runs daemons by turns on a clock of its own. It is the clock and the
// network between them.
type rig struct {
	parts
	now      time.Duration
	store    *standin.Store
	hosts    []*host
	schedule schedule
	ops      []porcupine.Operation
	stamp    int64
	accepted map[uint64]time.Duration // when each version was known to be accepted
	bad      map[string]int           // violations by kind
	floor    uint64                   // a version that every daemon had in force at once
	nested   bool
}

func (r *rig) Now() time.Time { return time.Unix(1_000_000, 0).Add(r.now) }

// AfterFunc lets everything else go on for the time, then calls f.
func (r *rig) AfterFunc(d time.Duration, f func()) (stop func()) {
	r.run(r.now + d)
	f()
	return func() {}
}

func (r *rig) active(kind string, index int) bool {
	return slices.ContainsFunc(r.schedule.faults, func(d disturbance) bool {
		return d.kind == kind && d.host == index && d.at(r.now)
	})
}

func (r *rig) apart(index int) bool { return r.active("peercut", index) || r.active("cut", index) }

// Gossip implements [ramp.Peers] for one host by way of [end].
type end struct {
	ramp.Peers
	*rig
	from *host
}

func (e end) Gossip(_ context.Context, to ramp.Daemon, news ramp.GossipMessage) (ramp.GossipMessage, error) {
	other := e.hosts[slices.IndexFunc(e.hosts, func(h *host) bool { return h.Self.PeerAddress == to.PeerAddress })]
	if e.apart(e.from.index) || e.apart(other.index) {
		return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Cause: errors.New("no connection")}
	}
	if other.frozen { // it reads the call when it wakes
		answer := other.Follower
		other.wake = append(other.wake, func() { answer.Answer(news) })
		return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: context.DeadlineExceeded}
	}
	return other.Answer(news), nil
}

func (r *rig) start(index int) *host {
	h := &host{index: index, since: r.now}
	if index < len(r.hosts) {
		h.starts = r.hosts[index].starts + 1
	}
	id := fmt.Sprint("d", index)
	reach := NewReach()
	self := ramp.Daemon{
		ID: id, Incarnation: fmt.Sprint(id, "-", h.starts), Domain: "f",
		CallerAddress: id + "-caller", PeerAddress: id + "-peer",
	}
	h.Follower = &Follower{
		Clock: r, Log: slog.New(slog.DiscardHandler), Self: self, Registry: platform.Registry{Store: r.store.For(id)},
		Lists: r.keeper(r, reach), Reach: reach, Roster: NewRoster(), Members: NewMembers(self, r), Layouts: noLayouts{},
		Departures: NewDepartures(), Used: func() []ramp.Usage { return nil }, Shared: func(ramp.GossipMessage) {},
	}
	h.Peers = end{rig: r, from: h}
	for i := range configHosts {
		h.Seeds = append(h.Seeds, ramp.Daemon{ID: "seed", PeerAddress: fmt.Sprintf("d%d-peer", i)})
	}
	return h
}

type noLayouts struct{ ramp.InventoryTracker }

func (noLayouts) LeavingVMs() []string { return nil }

// run lets the daemons take turns until the given time.
func (r *rig) run(until time.Duration) {
	for r.now < until {
		r.now += configTick
		r.setFaults()
		for _, h := range r.hosts {
			r.tick(h)
			r.observe(h)
		}
		r.judge()
		for _, e := range r.schedule.edits {
			if !r.nested && e.at == r.now {
				r.edit(e, fmt.Sprint("edit-", r.stamp), e.racing)
			}
		}
	}
}

func (r *rig) setFaults() {
	everywhere := func(kind string) bool {
		return slices.ContainsFunc(r.schedule.faults, func(d disturbance) bool { return d.kind == kind && d.at(r.now) })
	}
	all := standin.Fault{Down: everywhere("outage")}
	r.store.SetFault("", all)
	for i, h := range r.hosts {
		fault := standin.Fault{Down: r.active("storecut", i) || r.active("cut", i)}
		if r.active("stale", i) {
			fault.Stale = 6
		}
		r.store.SetFault(fmt.Sprint("d", i), fault)
		restarted := slices.ContainsFunc(r.schedule.faults, func(d disturbance) bool {
			return d.from == r.now && (d.kind == "restartall" || d.kind == "restart" && d.host == i)
		})
		if restarted {
			r.hosts[i] = r.start(i)
			continue
		}
		r.freeze(h, r.active("freeze", i))
	}
}

// freeze stops or wakes a daemon. A reply from the store that came before is
// read only when it wakes.
func (r *rig) freeze(h *host, frozen bool) {
	if frozen && !h.frozen {
		started := r.Now()
		lists, revision, err := h.Registry.Lists(context.Background())
		h.wake = append(h.wake, func() {
			if err == nil && revision >= h.read.revision && h.read.revision > 0 {
				h.confirm(lists, lists.Version, started)
			}
		})
	}
	h.frozen = frozen
	for !frozen && len(h.wake) > 0 {
		h.wake[0]()
		h.wake = h.wake[1:]
	}
}

// tick does what the daemon's goroutines do in one tick.
func (r *rig) tick(h *host) {
	if h.frozen {
		return
	}
	ctx := context.Background()
	if r.now%(2*time.Second) == 0 {
		h.lease = h.tenure().renew(ctx, h.lease)
	}
	if h.turn(0).reads {
		_ = h.readMembers(ctx, 0)
		h.read, _ = h.readLists(ctx, h.read, 0)
	}
	if r.now%newsPeriod == 0 || r.now-h.since == configTick {
		h.refreshMembers()
		for _, d := range h.partners() {
			if !r.mute {
				h.exchange(ctx, d)
			}
		}
	}
}

// edit runs an operator's edit on the version that the store has.
func (r *rig) edit(e edit, id string, racing bool) {
	ctx := context.Background()
	registry := platform.Registry{Store: racingStore{Client: r.store.For("op"), race: func() {
		if racing {
			racing = false
			r.nested = true
			r.edit(edit{}, id+"-rival", false)
			r.nested = false
		}
	}}}
	current, _, err := registry.Lists(ctx)
	if err != nil {
		return
	}
	next := current.WithAllowance(ramp.Allowance{
		Plan: "p", Share: 1, Prefer: ramp.PreferTail, Deadline: time.Second, Latency: time.Second,
	}).WithCustomer(ramp.Customer{Name: id, Plan: "p", Key: ramp.HashCredential(id)})
	if e.faults > 0 {
		r.store.SetFault("op", standin.Fault{Lose: e.faults})
	}
	r.stamp++
	called, nested := r.stamp, r.nested
	r.nested = true
	err = r.parts.edit(ctx, registry, r, next, current.Version, id)
	r.nested = nested
	r.stamp++
	op := porcupine.Operation{
		Input: editCall{base: current.Version, id: id}, Output: outcomeOf(err), Call: called, Return: r.stamp,
	}
	switch op.Output {
	case "unknown":
		op.Return = 1 << 40 // it may take effect at any time
	case "accepted":
		r.accepted[current.Version+1] = r.now
	}
	op.ClientId = len(r.ops)
	r.ops = append(r.ops, op)
}

// racingStore lets a rival edit before the first write to the lists.
type racingStore struct {
	*standin.Client
	race func()
}

func (s racingStore) Swap(
	ctx context.Context, key string, value []byte, revision uint64, lease string,
) (uint64, error) {
	if key == platform.ListsKey {
		s.race()
	}
	return s.Client.Swap(ctx, key, value, revision, lease)
}

func outcomeOf(err error) string {
	var conflict *ramp.ConflictError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	}
	return "unknown"
}

type editCall struct {
	base uint64
	id   string
}

type sight struct {
	daemon  string // incarnation
	version uint64
	edit    string
}

// observe records under which lists the daemon would admit a query.
func (r *rig) observe(h *host) {
	if h.frozen || h.Lists.Check(r.Now()) != nil {
		return
	}
	lists, _ := h.Lists.Current()
	saw := sight{daemon: h.Self.Incarnation, version: lists.Version, edit: lists.Edit}
	if saw == h.saw {
		return
	}
	h.saw = saw
	r.stamp += 2
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: len(r.ops), Input: saw, Output: "", Call: r.stamp - 1, Return: r.stamp,
	})
}

// calm reports whether no fault of the given kinds touched the daemon in the
// last d. Faults for one daemon count only for that one.
func (r *rig) calm(index int, d time.Duration, kinds ...string) bool {
	return !slices.ContainsFunc(r.schedule.faults, func(f disturbance) bool {
		one := f.kind != "outage" && f.kind != "restartall"
		till := f.till
		if strings.HasPrefix(f.kind, "restart") {
			till = f.from + configTick
		}
		return slices.Contains(kinds, f.kind) && (!one || index < 0 || f.host == index) &&
			f.from <= r.now && till+d > r.now
	})
}

// judge checks what must hold at every moment.
func (r *rig) judge() {
	newest := uint64(0)
	for v, at := range r.accepted {
		if at+inForceIn < r.now {
			newest = max(newest, v)
		}
	}
	lowest := ^uint64(0)
	for i, h := range r.hosts {
		if h.frozen {
			lowest = 0
			continue
		}
		version, _ := h.Lists.Version()
		refuses := h.Lists.Check(r.Now()) != nil
		if refuses {
			lowest = 0
		} else if lowest = min(lowest, version); version < r.floor {
			r.bad["an older version after a newer one was everywhere"]++
		}
		if version > 0 && h.served == 0 {
			h.served = r.now
		}
		lag := inForceIn + configTick
		if r.calm(i, lag, "peercut", "cut", "freeze", "restart") && r.storeSeen(lag) && version < newest {
			r.bad["not in force in 10s"]++
		}
		if !refuses && r.cutFor(i) > inForceIn+configTick {
			r.bad["admits while cut off from everything"]++
		}
		if r.calm(-1, 2*inForceIn, faultKinds[1:]...) && h.served > 0 && r.now-h.served > settleTime && refuses {
			r.bad["an outage seen by all stops service"]++
		}
		if r.now > configStart+configSpan+configFault+configCalm-configTick && refuses && newest > 0 {
			r.bad["refuses at the end"]++
		}
	}
	r.floor = max(r.floor, lowest)
}

// storeSeen reports whether some daemon could read the store well for all of
// the last d.
func (r *rig) storeSeen(d time.Duration) bool {
	for i := range r.hosts {
		if r.calm(i, d, faultKinds...) {
			return r.calm(-1, d, "restartall")
		}
	}
	return false
}

// cutFor returns for how long a daemon has been cut off from everything.
func (r *rig) cutFor(index int) time.Duration {
	longest := time.Duration(0)
	for _, f := range r.schedule.faults {
		if f.kind == "cut" && f.host == index && f.at(r.now) {
			longest = max(longest, r.now-f.from)
		}
	}
	return longest
}

// register is the state of the model: the accepted edits, and what each
// incarnation of a daemon saw last. It is an immutable value.
type register struct {
	edits []string
	seen  map[string]uint64
}

// step returns the states in which the operation can leave the register.
func step(state, input, output any) []any {
	s := state.(register)
	switch in := input.(type) {
	case sight:
		if in.version < s.seen[in.daemon] || in.version > uint64(len(s.edits)) ||
			in.version > 0 && s.edits[in.version-1] != in.edit {
			return nil
		}
		if in.version == s.seen[in.daemon] {
			return []any{s}
		}
		s.seen = maps.Clone(s.seen)
		s.seen[in.daemon] = in.version
		return []any{s}
	case editCall:
		after := register{edits: append(slices.Clone(s.edits), in.id), seen: s.seen}
		fits := uint64(len(s.edits)) == in.base
		switch {
		case output == "accepted" && fits:
			return []any{after}
		case output == "conflict" && !fits && s.edits[in.base] != in.id:
			return []any{s}
		case output == "unknown" && fits:
			return []any{s, after}
		case output == "unknown":
			return []any{s}
		}
	}
	return nil
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{seen: map[string]uint64{}}} },
	Step: step,
	Equal: func(a, b any) bool {
		x, y := a.(register), b.(register)
		return slices.Equal(x.edits, y.edits) && maps.Equal(x.seen, y.seen)
	},
}

// runSchedule returns the violations that a schedule brought about.
func runSchedule(p parts, s schedule) map[string]int {
	r := &rig{parts: p, schedule: s, accepted: map[uint64]time.Duration{}, bad: map[string]int{}}
	r.store = standin.NewStore(r)
	for i := range configHosts {
		r.hosts = append(r.hosts, r.start(i))
	}
	r.run(configStart + configSpan + 30*time.Second + configCalm)
	model := registerModel.ToModel()
	if !porcupine.CheckOperations(model, r.ops) {
		r.bad["history is not one of a versioned register"]++
	}
	return r.bad
}

// violations runs schedules, which follow from their seeds, and returns the
// lowest seed that brought about each kind of violation.
func violations(t *testing.T, p parts, seeds ...int) map[string]int {
	var mutex sync.Mutex
	lowest := map[string]int{}
	var workers sync.WaitGroup
	for w := range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := w; i < len(seeds); i += runtime.GOMAXPROCS(0) {
				for kind := range runSchedule(p, rapid.Custom(drawSchedule).Example(seeds[i])) {
					mutex.Lock()
					if old, known := lowest[kind]; !known || seeds[i] < old {
						lowest[kind] = seeds[i]
					}
					mutex.Unlock()
				}
			}
		})
	}
	workers.Wait()
	for kind, seed := range lowest {
		t.Logf("%s: seed %d: %+v", kind, seed, rapid.Custom(drawSchedule).Example(seed))
	}
	return lowest
}

// olderKeeper takes in whatever lists come last.
type olderKeeper struct {
	ramp.ListsCache
	clock ramp.Clock
	reach *Reach
}

func (k *olderKeeper) Update(lists ramp.Lists) bool {
	if version, _ := k.Version(); lists.Version > 0 && lists.Version < version {
		k.ListsCache = NewLists(k.clock, k.reach)
	}
	return k.ListsCache.Update(lists)
}

func (k *olderKeeper) Refresh(lists ramp.Lists, started time.Time) bool {
	k.Update(lists)
	return k.ListsCache.Refresh(lists, started)
}

// trustingKeeper admits as soon as it has lists.
type trustingKeeper struct{ ramp.ListsCache }

func (k trustingKeeper) Check(now time.Time) error {
	if k.Freshness(now).Version == 0 {
		return k.ListsCache.Check(now)
	}
	return nil
}

// strictKeeper admits only under lists that the store confirmed lately.
type strictKeeper struct{ ramp.ListsCache }

func (k strictKeeper) Check(now time.Time) error {
	if k.Freshness(now).ConfirmedAge > staleAfter {
		return &ramp.RefusedError{Reason: ramp.ReasonLists, Ran: ramp.NotRun}
	}
	return k.ListsCache.Check(now)
}

// hastyKeeper admits under the first lists that it learns.
type hastyKeeper struct{ ramp.ListsCache }

func (k hastyKeeper) Check(now time.Time) error {
	standing := k.Freshness(now)
	if standing.Version > 0 && standing.ConfirmedAge <= staleAfter {
		return nil
	}
	return k.ListsCache.Check(now)
}

// blindEdit repeats a write whose reply was lost without looking for its own
// edit.
func blindEdit(ctx context.Context, r ramp.Registry, c ramp.Clock, next ramp.Lists, base uint64, id string) error {
	for {
		current, revision, err := r.Lists(ctx)
		if err == nil && current.Version != base {
			return &ramp.ConflictError{Key: "lists", Revision: revision}
		}
		if err == nil {
			err = r.SwapLists(ctx, next.WithVersion(base+1, id, "test"), revision)
		}
		var conflict *ramp.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		_ = ramp.Sleep(ctx, c, time.Second)
	}
}

// lastWriter overwrites what it finds.
type lastWriter struct{ ramp.Registry }

func (w lastWriter) SwapLists(ctx context.Context, lists ramp.Lists, revision uint64) error {
	err := w.Registry.SwapLists(ctx, lists, revision)
	var conflict *ramp.ConflictError
	if errors.As(err, &conflict) {
		return w.Registry.SwapLists(ctx, lists, conflict.Revision)
	}
	return err
}

// schedules is how many schedules of faults a test runs. Their numbers are
// their seeds. They take their turns on deep stacks, at which the check of the
// lock order is slow, so they run in a build without it.
const schedules = 1000

// count yields the seeds below n.
func count(n int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := 0; i < n && yield(i); i++ {
		}
	}
}

// TestConfiguration runs schedules of outages, cuts, stale reads, lost replies,
// freezes, restarts and racing edits. Beside the system stand naive versions of
// its parts.
func TestConfiguration(t *testing.T) {
	naive := func(change func(p *parts)) parts {
		p := goodParts()
		change(&p)
		return p
	}
	wrap := func(w func(*Lists, ramp.Clock, *Reach) ramp.ListsCache) parts {
		return naive(func(p *parts) {
			p.keeper = func(c ramp.Clock, r *Reach) ramp.ListsCache { return w(NewLists(c, r), c, r) }
		})
	}
	tests := []struct {
		name  string
		parts parts
		seeds []int
	}{
		{"as built", goodParts(), slices.Collect(count(schedules))},
		{"keeper takes older lists", wrap(func(l *Lists, c ramp.Clock, r *Reach) ramp.ListsCache {
			return &olderKeeper{ListsCache: l, clock: c, reach: r}
		}), []int{12}},
		{"keeper admits under any lists", wrap(func(l *Lists, _ ramp.Clock, _ *Reach) ramp.ListsCache {
			return trustingKeeper{l}
		}), []int{2}},
		{"keeper trusts the store alone", wrap(func(l *Lists, _ ramp.Clock, _ *Reach) ramp.ListsCache {
			return strictKeeper{l}
		}), []int{108}},
		{"keeper admits without waiting for another daemon", wrap(func(l *Lists, _ ramp.Clock, _ *Reach) ramp.ListsCache {
			return hastyKeeper{l}
		}), []int{322}},
		{"daemons exchange no news", naive(func(p *parts) { p.mute = true }), []int{7}},
		{"edit repeated without looking for itself", naive(func(p *parts) { p.edit = blindEdit }), []int{0}},
		{"last writer wins", naive(func(p *parts) {
			p.edit = func(ctx context.Context, r ramp.Registry, c ramp.Clock, next ramp.Lists, base uint64, id string) error {
				return applied(ctx, lastWriter{r}, c, next, base, id)
			}
		}), []int{0}},
	}
	var b strings.Builder
	for _, test := range tests {
		found := violations(t, test.parts, test.seeds...)
		kinds := slices.Sorted(maps.Keys(found))
		fmt.Fprintf(&b, "%s: %d kinds of violations\n", test.name, len(kinds))
		for _, k := range kinds {
			fmt.Fprintf(&b, "  %s\n", k)
		}
	}
	golden.Check(t, "configuration", b.String())
}
