package fleet

import (
	"context"
	"hash/fnv"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Periods of the follower.
const (
	leaseTTL     = 6 * time.Second // of a small fleet
	leasePeriods = 3               // periods of renewal in the life of a lease
	keepRate     = 200             // renewals a second of all daemons together
	vmPeriod     = time.Second
	holdTimeout  = 400 * time.Millisecond
	revokeWithin = time.Second
)

// Follower keeps a daemon's tables up to date with the platform, the backend
// servers and the other daemons. All fields must be set before Run.
type Follower struct {
	Clock      ramp.Clock
	Log        *slog.Logger
	Self       ramp.Daemon
	Registry   ramp.Registry
	VMs        ramp.VMLister
	Backends   ramp.Backends
	Peers      ramp.Peers
	Pool       *ramp.Pool
	Lists      ramp.ListsCache
	Reach      *Reach // the one that Lists judges by
	Roster     *Roster
	Members    *Members
	Seeds      []ramp.Daemon // daemons to ask while no member is known; only Peer is set
	Layouts    ramp.InventoryTracker
	Departures *Departures
	Used       func() []ramp.Usage      // what the plans used since the last call
	Shared     func(ramp.GossipMessage) // called with each news from another daemon
	Leaving    <-chan struct{}          // closed when the daemon starts to leave; nil if it never does

	draws atomic.Uint64 // pseudo-random numbers drawn so far
	round []ramp.Daemon // daemons whose turn for news is yet to come; used by exchangeNews alone
}

// Run follows until ctx ends. It starts one goroutine for each thing followed,
// and returns when they have ended.
func (f *Follower) Run(ctx context.Context) {
	tasks := []func(context.Context){f.tenure().keep, f.watchLists, f.watchMembers, f.followVMs, f.exchangeNews}
	ended := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() {
			task(ctx)
			ended <- struct{}{}
		}()
	}
	for range tasks {
		<-ended
	}
}

// tenure returns what keeps the daemon registered.
func (f *Follower) tenure() tenure {
	return tenure{
		clock: f.Clock, log: f.Log, daemon: f.Self, registry: f.Registry, leaving: f.Leaving,
		members: func() int { return len(f.Roster.Live(f.Clock.Now())) },
	}
}

// self returns the daemon as it stands now.
func (f *Follower) self() ramp.Daemon { return f.tenure().self() }

// followVMs reads the VM list and asks each backend server what it holds.
func (f *Follower) followVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := f.VMs.ListVMs(ctx)
		if err != nil {
			f.Log.Warn("VM list not read", "error", err)
		} else {
			f.takeVMs(ctx, vms)
		}
		_ = ramp.Sleep(ctx, f.Clock, vmPeriod)
	}
}

func (f *Follower) takeVMs(ctx context.Context, vms []ramp.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		if vm.State == ramp.Leaving {
			f.Layouts.MarkLeaving(vm.ID, f.Clock.Now())
		}
		f.Pool.Submit(func() { f.askHolding(ctx, vm) })
	}
	for _, id := range f.Layouts.KnownVMs() {
		if !listed[id] {
			f.Layouts.Remove(id)
		}
	}
}

func (f *Follower) askHolding(ctx context.Context, vm ramp.VM) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	holding, err := f.Backends.FetchInventory(ctx, vm)
	if err != nil {
		return // the last holding stands; attempts judge the backend server
	}
	holding.ReportedAt = f.Clock.Now()
	f.Layouts.Update(holding)
}

// drawn returns a pseudo-random number that depends on the daemon's incarnation
// and on how many were drawn before.
func (f *Follower) drawn() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strconv.FormatUint(f.draws.Add(1), 10) + f.Self.Incarnation)) // never fails
	return mix(h.Sum64())
}

// jitter returns a time around mean, from half of it to one and a half.
func (f *Follower) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(f.drawn()%uint64(mean))
}

// shuffled returns the daemons in a new order.
func (f *Follower) shuffled(daemons []ramp.Daemon) []ramp.Daemon {
	order := slices.Clone(daemons)
	for i := len(order) - 1; i > 0; i-- {
		j := int(f.drawn() % uint64(i+1))
		order[i], order[j] = order[j], order[i]
	}
	return order
}

// mix spreads the bits of a hash over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
