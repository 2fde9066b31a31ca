package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"sycamoreramp.example/sycamoreramp/burn"
)

// BurnReport is the service-level burn of the fleet, in the form that the
// command-line tool prints.
type BurnReport struct {
	At      time.Time    `json:"at"`
	Daemons int          `json:"daemons"` // number of daemons that answered
	Missing []string     `json:"missing"` // ids of the daemons that did not answer
	Series  []BurnSeries `json:"series"`
}

// BurnSeries is the burn of one customer's requests to a service.
type BurnSeries struct {
	Customer string       `json:"customer"`
	Plan     string       `json:"plan"`
	Service  string       `json:"service"`
	Requests int          `json:"requests"` // in the last hour
	Latency  BurnRate     `json:"latency"`
	Coverage BurnRate     `json:"coverage"`
	Minutes  []burnMinute `json:"minutes"`
}

// BurnRate is the burn of one error budget.
type BurnRate struct {
	Goal   string  `json:"goal"`   // objective that the budget belongs to
	Budget float64 `json:"budget"` // share of requests or coverage that may miss the objective
	Short  float64 `json:"short"`  // burn rate over 5 minutes
	Long   float64 `json:"long"`   // burn rate over 1 hour
	Cause  string  `json:"cause"`  // main cause of the burn; empty for none
	State  string  `json:"state"`  // alert state: calm, ticket or page
}

// burnMinute is the JSON form of a [burn.Minute].
type burnMinute struct {
	At       int64                      `json:"at"` // minutes since 1970
	Requests int                        `json:"requests"`
	Slow     int                        `json:"slow"`
	Missing  float64                    `json:"missing"`
	Causes   map[string]burnCauseCounts `json:"causes,omitempty"`
}

// burnCauseCounts is the JSON form of the counts of one cause.
type burnCauseCounts struct {
	Slow    int     `json:"slow"`
	Missing float64 `json:"missing"`
}

// burnSeries is the JSON form of a [burn.Series].
type burnSeries struct {
	Customer string        `json:"customer"`
	Plan     string        `json:"plan"`
	Service  string        `json:"service"`
	Latency  time.Duration `json:"latency"` // in nanoseconds
	Coverage float64       `json:"coverage"`
	Minutes  []burnMinute  `json:"minutes"`
}

// BurnHandler returns a handler that serves the result of report as JSON.
func BurnHandler(report func() []burn.Series) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		counts := report()
		series := make([]burnSeries, 0, len(counts))
		for _, s := range counts {
			series = append(series, burnSeries{
				s.Customer, s.Plan, s.Service, s.Latency, s.Coverage, encodeMinutes(s.Minutes),
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(series) // an error means that the operator has disconnected
	}
}

// Burn returns the burn counts of the daemon's own requests. It returns a
// [*RefusedError] when the daemon refuses the call.
func (c Client) Burn(ctx context.Context, address string) ([]burn.Series, error) {
	var wire []burnSeries
	if err := c.Get(ctx, address, "/burn", &wire); err != nil {
		return nil, err
	}
	series := make([]burn.Series, 0, len(wire))
	for _, s := range wire {
		series = append(series, burn.Series{
			Customer: s.Customer, Plan: s.Plan, Service: s.Service, Latency: s.Latency, Coverage: s.Coverage,
			Minutes: decodeMinutes(s.Minutes),
		})
	}
	return series, nil
}

// NewBurnReport returns the report at the given time on series that were merged
// from the given number of daemons. Missing are the daemons without an answer.
func NewBurnReport(series []burn.Series, at time.Time, daemons int, missing []string) BurnReport {
	report := BurnReport{At: at.UTC().Truncate(time.Second), Daemons: daemons, Missing: missing}
	for _, s := range series {
		rates := s.Rates(at.Unix() / 60)
		report.Series = append(report.Series, BurnSeries{
			Customer: s.Customer, Plan: s.Plan, Service: s.Service, Requests: rates.Requests,
			Latency:  encodeRate(rates.Latency, "99% within "+s.Latency.String()),
			Coverage: encodeRate(rates.Coverage, fmt.Sprintf("%.4g%% covered", 100*s.Coverage)),
			Minutes:  encodeMinutes(s.Minutes),
		})
	}
	return report
}

// WriteText writes the report as an aligned text table.
func (r BurnReport) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "burn of the last hour at %s from %d daemons\n", r.At.Format(time.RFC3339), r.Daemons)
	for _, id := range r.Missing {
		fmt.Fprintf(w, "no answer from %s: its requests are not in the report\n", id)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CUSTOMER\tPLAN\tSERVICE\tREQUESTS\tOBJECTIVE\tBUDGET\t5 MIN\t1 H\tCAUSE\tSTATE")
	for _, s := range r.Series {
		for _, rate := range []BurnRate{s.Latency, s.Coverage} {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%.4g%%\t%.1f\t%.1f\t%s\t%s\n", s.Customer, s.Plan, s.Service,
				s.Requests, rate.Goal, 100*rate.Budget, rate.Short, rate.Long, rate.Cause, rate.State)
		}
	}
	return table.Flush()
}

func encodeRate(r burn.Rate, goal string) BurnRate {
	rate := BurnRate{Goal: goal, Budget: r.Budget, Short: r.Short, Long: r.Long, State: string(r.State())}
	if r.Cause < burn.NumCauses {
		rate.Cause = r.Cause.String()
	}
	return rate
}

func encodeMinutes(minutes []burn.Minute) []burnMinute {
	wire := make([]burnMinute, 0, len(minutes))
	for _, m := range minutes {
		entry := burnMinute{At: m.At, Requests: m.Requests, Slow: m.Slow, Missing: m.Missing}
		for i, p := range m.ByCause {
			if p == (burn.CauseCounts{}) {
				continue
			}
			if entry.Causes == nil {
				entry.Causes = make(map[string]burnCauseCounts)
			}
			entry.Causes[burn.Cause(i).String()] = burnCauseCounts(p)
		}
		wire = append(wire, entry)
	}
	return wire
}

func decodeMinutes(wire []burnMinute) []burn.Minute {
	minutes := make([]burn.Minute, 0, len(wire))
	for _, w := range wire {
		m := burn.Minute{At: w.At}
		m.Requests, m.Slow, m.Missing = w.Requests, w.Slow, w.Missing
		for i := range m.ByCause {
			m.ByCause[i] = burn.CauseCounts(w.Causes[burn.Cause(i).String()])
		}
		minutes = append(minutes, m)
	}
	return minutes
}
