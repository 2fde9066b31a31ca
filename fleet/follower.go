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

// Periods and time-outs of the follower.
const (
	leaseTTL         = 6 * time.Second // in a small fleet
	renewalsPerLease = 3               // renewal periods in the lifetime of a lease
	keepAliveRate    = 200             // lease renewals per second, of the whole fleet
	vmPollPeriod     = time.Second
	inventoryTimeout = 400 * time.Millisecond
	revokeTimeout    = time.Second
)

// Follower keeps a daemon's tables up to date from the platform, the backend
// servers and the other daemons. All fields must be set before Run.
type Follower struct {
	Clock                ramp.Clock
	Log                  *slog.Logger
	Self                 ramp.Daemon
	Registry             ramp.Registry
	VMs                  ramp.VMLister
	Backends             ramp.Backends
	Peers                ramp.Peers
	Pool                 *ramp.Pool
	Lists                ramp.ListsCache
	Reachability         *Reachability // the instance that Lists uses
	Registrations        *Registrations
	Members              *Members
	Seeds                []ramp.Daemon // daemons to contact while no member is known; only PeerAddress is set
	Layouts              ramp.InventoryTracker
	LeavingAnnouncements *LeavingAnnouncements
	Usage                func() []ramp.Usage      // returns the usage of the plans since the last call
	OnGossip             func(ramp.GossipMessage) // called with each gossip message from another daemon
	Leaving              <-chan struct{}          // closed when the daemon starts to leave; nil if it never does

	draws          atomic.Uint64 // number of pseudo-random numbers drawn
	pendingTargets []ramp.Daemon // members not contacted yet in the current gossip round; used by gossip alone
}

// Run keeps the tables up to date until ctx ends. It runs one goroutine for
// each source, and returns when all of them have ended.
func (f *Follower) Run(ctx context.Context) {
	tasks := []func(context.Context){f.registrar().run, f.watchLists, f.watchMembers, f.pollVMs, f.gossip}
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

// registrar returns the registrar of the daemon.
func (f *Follower) registrar() registrar {
	return registrar{
		clock: f.Clock, log: f.Log, daemon: f.Self, registry: f.Registry, leaving: f.Leaving,
		members: func() int { return len(f.Registrations.Live(f.Clock.Now())) },
		era:     func() uint64 { return f.Registrations.Position().Era },
	}
}

// self returns this daemon, marked as leaving once it leaves.
func (f *Follower) self() ramp.Daemon { return f.registrar().self() }

// pollVMs reads the VM list periodically and asks each backend server for its
// inventory.
func (f *Follower) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := f.VMs.ListVMs(ctx)
		if err != nil {
			f.Log.Warn("reading the VM list failed", "error", err)
		} else {
			f.updateVMs(ctx, vms)
		}
		_ = ramp.Sleep(ctx, f.Clock, vmPollPeriod)
	}
}

func (f *Follower) updateVMs(ctx context.Context, vms []ramp.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		if vm.State == ramp.Leaving {
			f.Layouts.MarkLeaving(vm.ID, f.Clock.Now())
		}
		f.Pool.Submit(func() { f.fetchInventory(ctx, vm) })
	}
	for _, id := range f.Layouts.KnownVMs() {
		if !listed[id] {
			f.Layouts.Remove(id)
		}
	}
}

func (f *Follower) fetchInventory(ctx context.Context, vm ramp.VM) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	inventory, err := f.Backends.FetchInventory(ctx, vm)
	if err != nil {
		return // the last inventory stays valid; the outcomes of attempts show whether the backend server works
	}
	inventory.ReportedAt = f.Clock.Now()
	f.Layouts.Update(inventory)
}

// random returns a pseudo-random number, determined by the daemon's incarnation
// and the count of earlier draws.
func (f *Follower) random() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strconv.FormatUint(f.draws.Add(1), 10) + f.Self.Incarnation)) // never fails
	return mix(h.Sum64())
}

// jitter returns a pseudo-random duration from half of mean to one and a half
// times mean.
func (f *Follower) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(f.random()%uint64(mean))
}

// shuffled returns a copy of the daemons in pseudo-random order.
func (f *Follower) shuffled(daemons []ramp.Daemon) []ramp.Daemon {
	order := slices.Clone(daemons)
	for i := len(order) - 1; i > 0; i-- {
		j := int(f.random() % uint64(i+1))
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
