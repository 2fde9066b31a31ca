package daemon

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	reporting "github.com/uber-go/tally/v4/prometheus"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/plan"
)

// Bounds of the metrics.
const (
	reportPeriod = time.Second // between two reports of the counters
	maxNames     = 64          // plans and routes with counters of their own
	otherNames   = "other"     // tag of those beyond
)

// Names of tags.
const (
	tagOutcome = "outcome"
	tagRoute   = "route"
)

// latencyBuckets are the upper bounds of the latency histogram.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 220 * time.Millisecond,
	400 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// metrics counts requests and attempts, and reports the daemon's state. All
// tags have a bounded number of values.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter reporting.Reporter
	plans    *ramp.Table[string, bool] // plans and routes with counters of their own
}

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	reporter := reporting.NewReporter(reporting.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "sycamoreramp", CachedReporter: reporter, Separator: reporting.DefaultSeparator,
		SanitizeOptions: &reporting.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportPeriod)
	return &metrics{
		scope: scope, closer: closer, reporter: reporter, plans: ramp.NewTable[string, bool](ramp.RankReports),
	}
}

// Observe counts a request and its attempts.
func (m *metrics) Observe(q ramp.Query, answer ramp.Answer, err error) {
	operation := map[string]string{"operation": string(q.Operation)}
	m.scope.Tagged(map[string]string{
		"operation": string(q.Operation), tagOutcome: outcomeOf(answer, err), "plan": m.nameTag(q.Plan),
	}).Counter("requests").Inc(1)
	m.scope.Tagged(operation).Histogram("latency", latencyBuckets).RecordDuration(answer.Elapsed)
	if whole := answer.Requested.Size(); whole > 0 {
		missing := whole - answer.Coverage.Size()
		m.scope.Tagged(operation).Counter("missing").Inc(int64(1e6 * float64(missing) / float64(whole)))
	}
	for i := range answer.Attempts {
		m.countAttempt(&answer.Attempts[i])
	}
}

func (m *metrics) countAttempt(a *ramp.Attempt) {
	m.scope.Tagged(map[string]string{
		"kind": string(a.Kind), tagOutcome: string(a.Outcome),
	}).Counter("attempts").Inc(1)
	if a.NewConnection {
		m.scope.Counter("connections").Inc(1)
	}
}

// outcomeOf returns "whole", "partial", or the reason of a refusal.
func outcomeOf(answer ramp.Answer, err error) string {
	var refused *ramp.RefusedError
	switch {
	case errors.As(err, &refused):
		return string(refused.Reason)
	case answer.Complete():
		return "whole"
	}
	return "partial"
}

// planTag returns the plan, or the tag of the others when it has no counters of
// its own.
func (m *metrics) nameTag(name string) string {
	if name == "" {
		return "none"
	}
	if known, _ := m.plans.Get(name); known {
		return name
	}
	if m.plans.Len() >= maxNames {
		return otherNames
	}
	m.plans.Put(name, true)
	return name
}

// state is what the gauges show.
type state struct {
	plan.State
	requests int           // in progress
	tasks    int           // that wait for a worker
	version  uint64        // lists in force
	age      time.Duration // since the last word from the store
	leaving  bool
}

// Handler serves the metrics as text. It reads the state at each call.
func (m *metrics) Handler(read func() state) http.HandlerFunc {
	text := m.reporter.HTTPHandler()
	return func(w http.ResponseWriter, r *http.Request) {
		s := read()
		m.gauge("progress", float64(s.requests))
		m.gauge("tasks", float64(s.tasks))
		m.gauge("running", float64(s.Running))
		m.gauge("waiting", float64(s.Waiting))
		m.gauge("version", float64(s.version))
		m.gauge("age", s.age.Seconds())
		leaving := 0.0
		if s.leaving {
			leaving = 1
		}
		m.gauge("leaving", leaving)
		for _, l := range s.Limits {
			m.reporter.AllocateGauge("sycamoreramp_limit", map[string]string{"service": l.Service}).ReportGauge(l.Size)
		}
		text.ServeHTTP(w, r)
	}
}

func (m *metrics) gauge(name string, value float64) {
	m.reporter.AllocateGauge("sycamoreramp_"+name, nil).ReportGauge(value)
}

// Close reports the last counts.
func (m *metrics) Close() error { return m.closer.Close() }

// ObserveDelivery counts a message and its attempts.
func (m *metrics) ObserveDelivery(d ramp.RelayResult, err error) {
	route := m.nameTag(d.Route.Name)
	m.scope.Tagged(map[string]string{tagRoute: route, tagOutcome: deliveryOutcome(d, err)}).Counter("messages").Inc(1)
	m.scope.Tagged(map[string]string{tagRoute: route}).Histogram("delivery", latencyBuckets).RecordDuration(d.Elapsed)
	m.scope.Tagged(map[string]string{tagRoute: route}).Counter("missing_parts").Inc(int64(d.MissingParts))
	for i := range d.Attempts {
		m.countAttempt(&d.Attempts[i])
	}
}

// deliveryOutcome returns "whole", "partial", "passed" for a failure that a
// replica gave, or the reason of a refusal.
func deliveryOutcome(d ramp.RelayResult, err error) string {
	var refused *ramp.RefusedError
	switch {
	case errors.As(err, &refused):
		return string(refused.Reason)
	case d.MissingParts > 0:
		return "partial"
	case d.Gathered() || d.Response.Succeeded():
		return "whole"
	}
	return "passed"
}

// edgeState is what the gauges of a daemon on the platform show.
type edgeState struct {
	version  uint64        // configuration in force
	age      time.Duration // since the last word from the store
	members  int           // daemons of the fleet
	replicas int           // that are listed
	tasks    int           // that wait for a worker
	dropped  int           // log lines since the start
	leaving  bool
}

// EdgeHandler serves the metrics of a daemon on the platform.
func (m *metrics) EdgeHandler(read func() edgeState) http.HandlerFunc {
	text := m.reporter.HTTPHandler()
	return func(w http.ResponseWriter, r *http.Request) {
		s := read()
		m.gauge("version", float64(s.version))
		m.gauge("age", s.age.Seconds())
		m.gauge("members", float64(s.members))
		m.gauge("replicas", float64(s.replicas))
		m.gauge("tasks", float64(s.tasks))
		m.gauge("dropped_lines", float64(s.dropped))
		leaving := 0.0
		if s.leaving {
			leaving = 1
		}
		m.gauge("leaving", leaving)
		text.ServeHTTP(w, r)
	}
}
