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

// parts holds the decisions and transports that several parts of a daemon share.
type parts struct {
	platform *platform.Client
	backends *backend.Client
	layouts  *replica.Layouts
	chooser  *replica.Chooser
	admitter *plan.Admitter
	burns    *burn.Ledger
	accounts *query.Accounts
}

func (d *Daemon) newParts() parts {
	layouts := replica.NewLayouts(d.clock)
	return parts{
		platform: platform.NewClient(d.settings.Platform),
		backends: backend.NewClient(d.clock, 0), // none before the daemon has its seat
		layouts:  layouts,
		chooser:  replica.NewChooser(layouts, d.clock),
		admitter: plan.NewAdmitter(plan.Config{
			Clock: d.clock, Room: d.settings.Room, Floor: d.settings.Floor, Members: d.members.All,
			Lists: func() ramp.Lists {
				lists, _ := d.lists.Current()
				return lists
			},
		}),
		burns:    burn.NewLedger(d.clock),
		accounts: query.NewAccounts(d.settings.Accounts),
	}
}

func (d *Daemon) newSeating(p parts) *fleet.Seating {
	return &fleet.Seating{
		Clock: d.clock, Log: d.log, Self: d.self, Store: platform.Registry{Store: p.platform}, VMs: p.platform,
		Connections: d.granted, Seats: d.settings.Seats, Limit: d.settings.Connections,
	}
}

func (d *Daemon) newFollower(p parts, reach *fleet.Reach) *fleet.Follower {
	return &fleet.Follower{
		Clock: d.clock, Log: d.log, Self: d.self, Registry: platform.Registry{Store: p.platform}, VMs: p.platform,
		Backends: p.backends, Peers: d.peers, Pool: d.pool, Lists: d.lists, Members: d.members, Layouts: p.layouts,
		Reach: reach, Roster: fleet.NewRoster(), Departures: fleet.NewDepartures(), Seeds: seeds(d.settings.Seeds),
		Used: p.admitter.Report, Leaving: d.leaving,
		Shared: func(news ramp.GossipMessage) { p.admitter.Hear(news.From, news.Usage) },
	}
}

func (d *Daemon) newService(p parts) *query.Service {
	return &query.Service{
		Clock: d.clock, Log: d.log, Self: d.self, Lists: d.lists, Members: d.members, Admitter: p.admitter,
		Ledger: d.ledger, Peers: d.peers,
		Engine: &query.Engine{
			Clock: d.clock, Pool: d.pool, Layouts: p.layouts, Chooser: p.chooser,
			Retrier: retry.NewPolicy(), Patience: retry.Patience{}, Backends: p.backends,
		},
		Observe: p.accounts.Observe(d.clock, d.observe(p.admitter, p.burns)),
	}
}

// newMux returns what callers and operators are served.
func (d *Daemon) newMux(p parts) *http.ServeMux {
	mux := http.NewServeMux()
	caller.NewServer(d.service, d.members, fleet.AddressLife).Register(mux)
	operators := operator.NewServer(d.settings.Operator.Reveal(), d.status)
	operators.Register(mux)
	mux.HandleFunc("GET /explain", operators.Guard(caller.Explain(p.accounts.Find)))
	mux.HandleFunc("GET /burn", operators.Guard(operator.BurnHandler(p.burns.Report)))
	mux.HandleFunc("GET /metrics", operators.Guard(d.metrics.Handler(func() state { return d.state(p.admitter) })))
	return mux
}

// observe returns the function that takes in every request of a caller.
func (d *Daemon) observe(
	admitter *plan.Admitter, ledger *burn.Ledger,
) func(ramp.Query, ramp.Allowance, ramp.Answer, error) {
	return func(q ramp.Query, a ramp.Allowance, answer ramp.Answer, err error) {
		admitter.Observe(q, answer)
		ledger.Observe(q, a, answer, err)
		d.metrics.Observe(q, answer, err)
	}
}

// seeds returns the daemons at the given addresses, of which nothing else is
// known.
func seeds(addresses []string) []ramp.Daemon {
	daemons := make([]ramp.Daemon, 0, len(addresses))
	for _, a := range addresses {
		daemons = append(daemons, ramp.Daemon{ID: a, PeerAddress: a})
	}
	return daemons
}
