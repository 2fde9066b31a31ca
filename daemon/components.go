package daemon

import (
	"net/http"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/backend"
	"sycamoreramp.example/sycamoreramp/burn"
	"sycamoreramp.example/sycamoreramp/caller"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/plan"
	"sycamoreramp.example/sycamoreramp/platform"
	"sycamoreramp.example/sycamoreramp/query"
	"sycamoreramp.example/sycamoreramp/replica"
	"sycamoreramp.example/sycamoreramp/retry"
)

// components holds the decision components and clients that several parts of a
// daemon share.
type components struct {
	platform  *platform.Client
	backends  *backend.Client
	layouts   *replica.Layouts
	chooser   *replica.Chooser
	admitter  *plan.Admitter
	burnRates *burn.Recorder
	traces    *query.TraceStore
}

func (d *Daemon) newComponents() components {
	layouts := replica.NewLayouts(d.clock)
	return components{
		platform: platform.NewClient(d.settings.PlatformAddress),
		backends: backend.NewClient(d.clock, 0), // no connections until the daemon holds a slot
		layouts:  layouts,
		chooser:  replica.NewChooser(layouts, d.clock),
		admitter: plan.NewAdmitter(plan.Config{
			Clock: d.clock, Capacity: d.settings.Capacity, Floor: d.settings.Floor, Members: d.members.All,
			Lists: func() ramp.Lists {
				lists, _ := d.lists.Current()
				return lists
			},
		}),
		burnRates: burn.NewRecorder(d.clock),
		traces:    query.NewTraceStore(d.settings.TracedAttempts),
	}
}

func (d *Daemon) newSlotHolder(c components) *fleet.SlotHolder {
	return &fleet.SlotHolder{
		Clock: d.clock, Log: d.log, Self: d.self, Store: platform.Registry{Store: c.platform}, VMs: c.platform,
		Connections: d.limiter, Slots: d.settings.Slots, Limit: d.settings.Connections,
	}
}

func (d *Daemon) newFollower(c components, reach *fleet.Reachability) *fleet.Follower {
	return &fleet.Follower{
		Clock: d.clock, Log: d.log, Self: d.self, Registry: platform.Registry{Store: c.platform}, VMs: c.platform,
		Backends: c.backends, Peers: d.peers, Pool: d.pool, Lists: d.lists, Members: d.members, Layouts: c.layouts,
		Reachability: reach, Registrations: fleet.NewRegistrations(),
		LeavingAnnouncements: fleet.NewLeavingAnnouncements(), Seeds: seedDaemons(d.settings.Seeds),
		Usage: c.admitter.Report, Leaving: d.leaving,
		OnGossip: func(m ramp.GossipMessage) { c.admitter.MergeUsage(m.From, m.Usage) },
	}
}

func (d *Daemon) newService(c components) *query.Service {
	return &query.Service{
		Clock: d.clock, Log: d.log, Self: d.self, Lists: d.lists, Members: d.members, Admitter: c.admitter,
		Tickets: d.tickets, Peers: d.peers,
		Engine: &query.Engine{
			Clock: d.clock, Pool: d.pool, Layouts: c.layouts, Chooser: c.chooser,
			Retrier: retry.NewPolicy(), Stragglers: retry.CutoffPolicy{}, Backends: c.backends,
		},
		Observe: c.traces.Observe(d.clock, d.newObserver(c.admitter, c.burnRates)),
	}
}

// newMux returns the handler for callers and operators.
func (d *Daemon) newMux(c components) *http.ServeMux {
	mux := http.NewServeMux()
	caller.NewServer(d.service, d.members, fleet.AddressTTL).Register(mux)
	operators := operator.NewServer(d.settings.OperatorCredential.Reveal(), d.status)
	operators.Register(mux)
	mux.HandleFunc("GET /explain", operators.RequireCredential(caller.ExplainHandler(c.traces.Find)))
	mux.HandleFunc("GET /burn", operators.RequireCredential(operator.BurnHandler(c.burnRates.Report)))
	mux.HandleFunc("GET /metrics", operators.RequireCredential(
		d.metrics.Handler(func() gauges { return d.gauges(c.admitter) })))
	return mux
}

// newObserver returns a function that records each caller's request in admission
// control, burn rates and metrics.
func (d *Daemon) newObserver(
	admitter *plan.Admitter, burnRates *burn.Recorder,
) func(ramp.Query, ramp.Allowance, ramp.Answer, error) {
	return func(q ramp.Query, a ramp.Allowance, answer ramp.Answer, err error) {
		admitter.Observe(q, answer)
		burnRates.Observe(q, a, answer, err)
		d.metrics.Observe(q, answer, err)
	}
}

// seedDaemons returns a daemon for each address, with its address as ID and only
// PeerAddress set besides.
func seedDaemons(addresses []string) []ramp.Daemon {
	daemons := make([]ramp.Daemon, 0, len(addresses))
	for _, a := range addresses {
		daemons = append(daemons, ramp.Daemon{ID: a, PeerAddress: a})
	}
	return daemons
}
