package operator

import (
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

// Belief is what a daemon on the users' platform takes to be true.
type Belief struct {
	Daemon      string          `json:"daemon"`
	Incarnation string          `json:"incarnation"`
	Domain      string          `json:"domain"`
	Version     uint64          `json:"version"`  // configuration in force; 0 for none
	Revision    uint64          `json:"revision"` // of the store, up to which the view is complete
	Age         string          `json:"age"`      // since the last word from the store, or "never"
	Leaving     bool            `json:"leaving"`
	Routes      []BeliefRoute   `json:"routes"`
	Replicas    []BeliefReplica `json:"replicas"`
	Daemons     []BeliefDaemon  `json:"daemons"`
}

// BeliefRoute is a route in force.
type BeliefRoute struct {
	Route     string             `json:"route"`
	Host      string             `json:"host"`
	Prefix    string             `json:"prefix"`
	Repeat    bool               `json:"repeat"` // a request may run more than once
	Attempts  int                `json:"attempts"`
	Timeout   string             `json:"timeout"`
	Objective string             `json:"objective"`
	Split     map[string]float64 `json:"split,omitempty"`  // weights by service
	Gather    []string           `json:"gather,omitempty"` // services that each hold a part
	Least     float64            `json:"least,omitempty"`  // share of Gather that an answer needs
}

// BeliefReplica is a replica as the daemon sees it.
type BeliefReplica struct {
	Replica string  `json:"replica"`
	Service string  `json:"service"`
	Address string  `json:"address"`
	Domain  string  `json:"domain"`
	State   string  `json:"state"`
	Footing string  `json:"footing"` // sound, avoided, vanished, drained, or none
	Entry   string  `json:"entry"`   // age of its entry
	Busy    int     `json:"busy"`
	Latency string  `json:"latency"`
	Trouble float64 `json:"trouble"` // share of failures and refusals lately
	Stalled bool    `json:"stalled"`
}

// BeliefDaemon is another daemon as the daemon sees it.
type BeliefDaemon struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	Heard       string `json:"heard"` // age of the last word of it
	Missed      bool   `json:"missed"`
	Leaving     bool   `json:"leaving"`
}

// noFooting is the footing of a replica that may get nothing.
const noFooting = "none"

// WithRouting returns the belief with the configuration in force.
func (b Belief) WithRouting(r ramp.Routing) Belief {
	b.Version = r.Version
	b.Routes = make([]BeliefRoute, 0, len(r.Routes))
	for _, route := range r.Routes {
		known := BeliefRoute{
			Route: route.Name, Host: route.Host, Prefix: route.Prefix, Repeat: route.Idempotent,
			Attempts: route.MaxAttempts, Timeout: route.Timeout.String(), Objective: route.Objective.String(),
			Gather: route.Gather, Least: route.MinCoverage,
		}
		for _, w := range route.Split {
			if known.Split == nil {
				known.Split = make(map[string]float64, len(route.Split))
			}
			known.Split[w.Service] = w.Weight
		}
		b.Routes = append(b.Routes, known)
	}
	return b
}

// WithReplicas returns the belief with the replicas.
func (b Belief) WithReplicas(views []ramp.ReplicaView) Belief {
	b.Replicas = make([]BeliefReplica, 0, len(views))
	for _, v := range views {
		footing := string(v.Health)
		if footing == "" {
			footing = noFooting
		}
		b.Replicas = append(b.Replicas, BeliefReplica{
			Replica: v.ID, Service: v.Service, Address: v.Address, Domain: v.Domain, State: string(v.State),
			Footing: footing, Entry: v.EntryAge.Round(ageUnit).String(), Busy: v.InFlight,
			Latency: v.Latency.Round(ageUnit).String(), Trouble: v.FailureRatio, Stalled: v.Stalled,
		})
	}
	return b
}

// WithDaemons returns the belief with the daemons of the fleet.
func (b Belief) WithDaemons(views []ramp.DaemonView) Belief {
	b.Daemons = make([]BeliefDaemon, 0, len(views))
	for _, v := range views {
		b.Daemons = append(b.Daemons, BeliefDaemon{
			Daemon: v.ID, Incarnation: v.Incarnation, Domain: v.Domain, Heard: v.ContactAge.Round(ageUnit).String(),
			Missed: v.Unresponsive, Leaving: v.Leaving,
		})
	}
	return b
}

// BeliefHandler serves what read returns.
func BeliefHandler(read func() Belief) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(read()) // the operator is gone
	}
}

// Belief asks a daemon on the users' platform what it takes to be true.
func (c Client) Belief(ctx context.Context, address string) (Belief, error) {
	var belief Belief
	err := c.Get(ctx, address, "/belief", &belief)
	return belief, err
}

// WriteText writes the belief as tables for people.
func (b Belief) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s (%s, %s): configuration %d, store at revision %d %s ago\n", b.Daemon, b.Incarnation, b.Domain,
		b.Version, b.Revision, b.Age)
	if b.Leaving {
		fmt.Fprintln(w, "it is leaving")
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tHOST\tPREFIX\tREPEAT\tATTEMPTS\tTIMEOUT\tOBJECTIVE\tSERVICES")
	for _, r := range b.Routes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d\t%s\t%s\t%s\n", r.Route, r.Host, r.Prefix, r.Repeat, r.Attempts,
			r.Timeout, r.Objective, r.services())
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "REPLICA\tSERVICE\tADDRESS\tDOMAIN\tSTATE\tFOOTING\tENTRY\tBUSY\tLATENCY\tTROUBLE\tSTALLED")
	for _, r := range b.Replicas {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%.2f\t%t\n", r.Replica, r.Service, r.Address, r.Domain,
			r.State, r.Footing, r.Entry, r.Busy, r.Latency, r.Trouble, r.Stalled)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "DAEMON\tINCARNATION\tDOMAIN\tHEARD\tMISSED\tLEAVING")
	for _, d := range b.Daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%t\t%t\n", d.Daemon, d.Incarnation, d.Domain, d.Heard, d.Missed, d.Leaving)
	}
	return table.Flush()
}

// services tells in short which services answer on the route.
func (r BeliefRoute) services() string {
	if len(r.Gather) > 0 {
		return fmt.Sprintf("%g of %d parts", r.Least, len(r.Gather))
	}
	parts := make([]string, 0, len(r.Split))
	for _, service := range slices.Sorted(maps.Keys(r.Split)) {
		parts = append(parts, fmt.Sprintf("%s=%g", service, r.Split[service]))
	}
	return strings.Join(parts, " ")
}
