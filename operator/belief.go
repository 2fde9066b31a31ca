package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	ramp "sycamoreramp.example/sycamoreramp"
)

// View is a daemon's current view of the cluster: the routes in force, the
// replicas and the other daemons. Daemons on the users' platform serve it.
type View struct {
	Daemon      string        `json:"daemon"`
	Incarnation string        `json:"incarnation"`
	Domain      string        `json:"domain"`
	Version     uint64        `json:"version"`  // version of the configuration in force; 0 for none
	Era         uint64        `json:"era"`      // era of the store
	Revision    uint64        `json:"revision"` // store revision up to which the view is complete
	StoreAge    string        `json:"age"`      // time since the last response of the store, or "never"
	Leaving     bool          `json:"leaving"`
	Evacuated   []string      `json:"evacuated,omitempty"` // failure domains whose replicas get no requests
	Routes      []RouteView   `json:"routes"`
	Replicas    []ReplicaView `json:"replicas"`
	Daemons     []DaemonView  `json:"daemons"`
}

// RouteView is a route of the configuration in force.
type RouteView struct {
	Route       string             `json:"route"`
	Host        string             `json:"host"`
	Prefix      string             `json:"prefix"`
	Idempotent  bool               `json:"repeat"` // requests may be sent more than once
	Attempts    int                `json:"attempts"`
	Timeout     string             `json:"timeout"`
	Objective   string             `json:"objective"`
	Split       map[string]float64 `json:"split,omitempty"`  // weight of each service
	Gather      []string           `json:"gather,omitempty"` // services that each return a part of the answer
	MinCoverage float64            `json:"least,omitempty"`  // least share of the parts that an answer needs
}

// ReplicaView is the daemon's view of a replica.
type ReplicaView struct {
	Replica      string  `json:"replica"`
	Service      string  `json:"service"`
	Address      string  `json:"address"`
	Domain       string  `json:"domain"`
	State        string  `json:"state"`
	Health       string  `json:"footing"` // sound, avoided, vanished, drained, or none if it may get no requests
	EntryAge     string  `json:"entry"`   // age of its store entry
	InFlight     int     `json:"busy"`
	Latency      string  `json:"latency"`
	FailureRatio float64 `json:"trouble"` // share of recent attempts that failed or were refused
	Stalled      bool    `json:"stalled"`

	RateLimit *float64 `json:"limit,omitempty"`   // requests per second that it accepts from all daemons
	Share     float64  `json:"share,omitempty"`   // requests per second that this daemon may send under the limit
	Leaving   bool     `json:"leaving,omitempty"` // it said that it shuts down
	Refuses   string   `json:"refuses,omitempty"` // time until it accepts a request of this daemon
	SaidAge   string   `json:"said,omitempty"`    // age of what it last said of itself
	Cold      string   `json:"cold,omitempty"`    // time for which it is still cold
	Load      string   `json:"load,omitempty"`    // requests that run and wait, slots, slowdown, and the age of that
}

// DaemonView is the daemon's view of another daemon.
type DaemonView struct {
	Daemon       string `json:"daemon"`
	Incarnation  string `json:"incarnation"`
	Domain       string `json:"domain"`
	ContactAge   string `json:"heard"` // time since its last message
	Unresponsive bool   `json:"missed"`
	Leaving      bool   `json:"leaving"`
}

// noHealth is reported as the health of a replica that may get no requests.
const noHealth = "none"

// WithRouting returns the view with the configuration's version and routes.
func (b View) WithRouting(r ramp.Routing) View {
	b.Version = r.Version
	b.Routes = make([]RouteView, 0, len(r.Routes))
	for _, route := range r.Routes {
		encoded := RouteView{
			Route: route.Name, Host: route.Host, Prefix: route.Prefix, Idempotent: route.Idempotent,
			Attempts: route.MaxAttempts, Timeout: route.Timeout.String(), Objective: route.Objective.String(),
			Gather: route.Gather, MinCoverage: route.MinCoverage,
		}
		for _, w := range route.Split {
			if encoded.Split == nil {
				encoded.Split = make(map[string]float64, len(route.Split))
			}
			encoded.Split[w.Service] = w.Weight
		}
		b.Routes = append(b.Routes, encoded)
	}
	return b
}

// WithReplicas returns the view with the given replicas.
func (b View) WithReplicas(views []ramp.ReplicaView) View {
	b.Replicas = make([]ReplicaView, 0, len(views))
	for _, v := range views {
		health := string(v.Health)
		if health == "" {
			health = noHealth
		}
		encoded := ReplicaView{
			Replica: v.ID, Service: v.Service, Address: v.Address, Domain: v.Domain, State: string(v.State),
			Health: health, EntryAge: v.EntryAge.Round(ageUnit).String(), InFlight: v.InFlight,
			Latency: v.Latency.Round(ageUnit).String(), FailureRatio: v.FailureRatio, Stalled: v.Stalled,
		}
		if v.Signals.Limited {
			encoded.RateLimit, encoded.Share = &v.Signals.RateLimit, v.Share
		}
		encoded.Leaving = v.Signals.Leaving
		if v.ColdLeft > 0 {
			encoded.Cold = v.ColdLeft.Round(ageUnit).String()
		}
		if l := v.Load; l.Slots > 0 {
			encoded.Load = fmt.Sprintf("%d running, %d waiting, %d slots, slowdown %.3g, %s ago",
				l.Running, l.Waiting, l.Slots, l.Slowdown, v.LoadAge.Round(ageUnit))
		}
		if v.Delay > 0 {
			encoded.Refuses = v.Delay.Round(ageUnit).String()
		}
		if v.Signals.Limited || v.Signals.Leaving || v.Delay > 0 {
			encoded.SaidAge = v.SignalsAge.Round(ageUnit).String()
		}
		b.Replicas = append(b.Replicas, encoded)
	}
	return b
}

// WithDaemons returns the view with the given daemons of the fleet.
func (b View) WithDaemons(views []ramp.DaemonView) View {
	b.Daemons = make([]DaemonView, 0, len(views))
	for _, v := range views {
		b.Daemons = append(b.Daemons, DaemonView{
			Daemon: v.ID, Incarnation: v.Incarnation, Domain: v.Domain, ContactAge: v.ContactAge.Round(ageUnit).String(),
			Unresponsive: v.Unresponsive, Leaving: v.Leaving,
		})
	}
	return b
}

// ViewHandler returns a handler that serves the result of read as JSON.
func ViewHandler(read func() View) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(read()) // an error means that the operator has disconnected
	}
}

// View returns the current view of the daemon at the address. It returns a
// [*RefusedError] when the daemon refuses the call.
func (c Client) View(ctx context.Context, address string) (View, error) {
	var view View
	err := c.Get(ctx, address, "/belief", &view)
	return view, err
}

// WriteText writes the view as aligned text tables.
func (b View) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s (%s, %s): configuration %d, store at revision %d %s ago\n", b.Daemon, b.Incarnation, b.Domain,
		b.Version, b.Revision, b.StoreAge)
	if b.Leaving {
		fmt.Fprintln(w, "the daemon is leaving")
	}
	if len(b.Evacuated) > 0 {
		fmt.Fprintf(w, "evacuated: %s\n", strings.Join(b.Evacuated, ", "))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tHOST\tPREFIX\tREPEAT\tATTEMPTS\tTIMEOUT\tOBJECTIVE\tSERVICES")
	for _, r := range b.Routes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d\t%s\t%s\t%s\n", r.Route, r.Host, r.Prefix, r.Idempotent, r.Attempts,
			r.Timeout, r.Objective, r.services())
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "REPLICA\tSERVICE\tADDRESS\tDOMAIN\tSTATE\tFOOTING\tENTRY\tBUSY\tLATENCY\tTROUBLE\tSTALLED\tSAYS")
	for _, r := range b.Replicas {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%.2f\t%t\t%s\n", r.Replica, r.Service, r.Address,
			r.Domain, r.State, r.Health, r.EntryAge, r.InFlight, r.Latency, r.FailureRatio, r.Stalled, r.says())
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "DAEMON\tINCARNATION\tDOMAIN\tHEARD\tMISSED\tLEAVING")
	for _, d := range b.Daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%t\t%t\n", d.Daemon, d.Incarnation, d.Domain, d.ContactAge,
			d.Unresponsive, d.Leaving)
	}
	return table.Flush()
}

// says returns a short text of what the replica said of itself, or "-".
func (r ReplicaView) says() string {
	var said []string
	if r.Cold != "" {
		said = append(said, "cold for "+r.Cold)
	}
	if r.Load != "" {
		said = append(said, r.Load)
	}
	if r.SaidAge == "" {
		return cmp.Or(strings.Join(said, ", "), "-")
	}
	if r.RateLimit != nil {
		said = append(said, fmt.Sprintf("limit %g (share %.2g)", *r.RateLimit, r.Share))
	}
	if r.Leaving {
		said = append(said, "leaving")
	}
	if r.Refuses != "" {
		said = append(said, "not before "+r.Refuses)
	}
	return strings.Join(append(said, r.SaidAge+" ago"), ", ")
}

// services returns a short text that names the services behind the route.
func (r RouteView) services() string {
	if len(r.Gather) > 0 {
		return fmt.Sprintf("%g of %d parts", r.MinCoverage, len(r.Gather))
	}
	parts := make([]string, 0, len(r.Split))
	for _, service := range slices.Sorted(maps.Keys(r.Split)) {
		parts = append(parts, fmt.Sprintf("%s=%g", service, r.Split[service]))
	}
	return strings.Join(parts, " ")
}
