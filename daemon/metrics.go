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
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/plan"
)

// Limits of the metrics.
const (
	reportInterval = time.Second // between reports of the counters
	maxTagValues   = 512         // plans, routes and services with their own tag value
	maxTenants     = 256         // tenants with their own tag value
	otherTagValue  = "other"     // tag value of all further names
)

// Names of tags.
const (
	tagOutcome = "outcome"
	tagRoute   = "route"
	tagService = "service"
	tagTenant  = "tenant"
)

// latencyBuckets are the upper bounds of the latency histograms' buckets.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 220 * time.Millisecond,
	400 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// metrics holds the counters and histograms of requests and attempts and the gauges
// of the daemon's state. The number of values of each tag is bounded.
type metrics struct {
	scope     tally.Scope
	closer    io.Closer
	reporter  reporting.Reporter
	tagValues *ramp.Table[string, bool] // plans and routes with their own tag value
	tenants   *ramp.Table[string, bool] // tenants with their own tag value
}

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	reporter := reporting.NewReporter(reporting.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "sycamoreramp", CachedReporter: reporter, Separator: reporting.DefaultSeparator,
		SanitizeOptions: &reporting.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{
		scope: scope, closer: closer, reporter: reporter, tagValues: ramp.NewTable[string, bool](ramp.RankReports),
		tenants: ramp.NewTable[string, bool](ramp.RankReports),
	}
}

// Observe counts a request and its attempts. The counter of missing coverage is in
// millionths of a request's key range.
func (m *metrics) Observe(q ramp.Query, answer ramp.Answer, err error) {
	tags := map[string]string{"operation": string(q.Operation)}
	m.scope.Tagged(map[string]string{
		"operation": string(q.Operation), tagOutcome: queryOutcome(answer, err), "plan": m.boundedTag(q.Plan),
	}).Counter("requests").Inc(1)
	m.scope.Tagged(tags).Histogram("latency", latencyBuckets).RecordDuration(answer.Elapsed)
	if requested := answer.Requested.Size(); requested > 0 {
		missing := requested - answer.Coverage.Size()
		m.scope.Tagged(tags).Counter("missing").Inc(int64(1e6 * float64(missing) / float64(requested)))
	}
	for i := range answer.Attempts {
		m.ObserveAttempt(answer.Attempts[i])
	}
}

// ObserveAttempt counts an attempt that has ended.
func (m *metrics) ObserveAttempt(a ramp.Attempt) {
	m.scope.Tagged(map[string]string{
		"kind": string(a.Kind), tagOutcome: string(a.Outcome),
	}).Counter("attempts").Inc(1)
	if a.NewConnection {
		m.scope.Counter("connections").Inc(1)
	}
	if a.Signals != nil {
		m.countSignals(a.Shard.ID, *a.Signals)
	}
	if a.Pick.Load != nil {
		m.scope.Tagged(map[string]string{tagService: m.boundedTag(a.Shard.ID)}).
			Histogram("load_age", latencyBuckets).RecordDuration(a.Pick.LoadAge)
	}
}

// countSignals counts what a replica of the service said of itself.
func (m *metrics) countSignals(service string, s ramp.Signals) {
	for kind, said := range map[string]bool{
		"limit": s.Limited, "leaving": s.Leaving, "refuses": s.RetryAfter > 0, "ignored": s.Ignored != "",
	} {
		if said {
			m.scope.Tagged(map[string]string{tagService: m.boundedTag(service), "says": kind}).Counter("signals").Inc(1)
		}
	}
}

// ObserveWithheld counts an attempt that was not made because all replicas of the service
// that were left accept no request of this daemon yet.
func (m *metrics) ObserveWithheld(service string) {
	m.scope.Tagged(map[string]string{tagService: m.boundedTag(service)}).Counter("withheld").Inc(1)
}

// ObserveAllowance counts a request of a tenant for a token of its allowance.
func (m *metrics) ObserveAllowance(tenant string, outcome plan.AllowanceOutcome) {
	m.scope.Tagged(map[string]string{
		tagTenant: m.boundedTag(tenant), tagOutcome: string(outcome),
	}).Counter("allowances").Inc(1)
}

// queryOutcome returns "whole", "partial", or the reason of a refusal.
func queryOutcome(answer ramp.Answer, err error) string {
	var refused *ramp.RefusedError
	switch {
	case errors.As(err, &refused):
		return string(refused.Reason)
	case answer.Complete():
		return "whole"
	}
	return "partial"
}

// boundedTag returns the tag value for the name of a plan or a route. Names beyond
// the first maxTagValues share otherTagValue.
func (m *metrics) boundedTag(name string) string {
	if name == "" {
		return "none"
	}
	return boundedValue(m.tagValues, maxTagValues, name)
}

// boundedValue returns the tag value for a name: the name itself if it is among the first
// ones, up to the limit, and otherwise otherTagValue. The table holds the names so far.
func boundedValue(seen *ramp.Table[string, bool], limit int, name string) string {
	if known, _ := seen.Get(name); known {
		return name
	}
	if seen.Len() >= limit {
		return otherTagValue
	}
	seen.Put(name, true)
	return name
}

// gauges holds the values of a daemon's gauges.
type gauges struct {
	plan.State
	inFlight     int           // requests in flight
	queuedTasks  int           // tasks waiting for a worker
	listsVersion uint64        // version of the lists in force
	confirmedAge time.Duration // time since the store last confirmed the lists; 0 for never
	leaving      bool
}

// Handler serves the metrics in the Prometheus text format. It calls read for the
// gauges at each request.
func (m *metrics) Handler(read func() gauges) http.HandlerFunc {
	text := m.reporter.HTTPHandler()
	return func(w http.ResponseWriter, r *http.Request) {
		s := read()
		m.setGauge("progress", float64(s.inFlight))
		m.setGauge("tasks", float64(s.queuedTasks))
		m.setGauge("version", float64(s.listsVersion))
		m.setGauge("age", s.confirmedAge.Seconds())
		leaving := 0.0
		if s.leaving {
			leaving = 1
		}
		m.setGauge("leaving", leaving)
		m.setAdmissionGauges(s.State)
		text.ServeHTTP(w, r)
	}
}

// setAdmissionGauges sets the gauges of an admitter's load and limits. Services beyond the
// first maxTagValues share a value.
func (m *metrics) setAdmissionGauges(s plan.State) {
	m.setGauge("running", float64(s.Running))
	m.setGauge("waiting", float64(s.Waiting))
	for _, l := range s.Limits {
		tags := map[string]string{tagService: m.boundedTag(l.Service)}
		if l.Class != "" {
			tags["priority"] = l.Class
		}
		m.reporter.AllocateGauge("sycamoreramp_limit", tags).ReportGauge(l.Size)
	}
}

// setGauge sets the gauge of the name, to which it adds the common prefix.
func (m *metrics) setGauge(name string, value float64) {
	m.reporter.AllocateGauge("sycamoreramp_"+name, nil).ReportGauge(value)
}

// Close reports the counters a last time.
func (m *metrics) Close() error { return m.closer.Close() }

// ObserveRelay counts a message. Its attempts are counted as they end.
func (m *metrics) ObserveRelay(d ramp.RelayResult, err error) {
	route := m.boundedTag(d.Route.Name)
	m.scope.Tagged(map[string]string{tagRoute: route, tagOutcome: relayOutcome(d, err)}).Counter("messages").Inc(1)
	m.scope.Tagged(map[string]string{tagRoute: route}).Histogram("delivery", latencyBuckets).RecordDuration(d.Elapsed)
	m.scope.Tagged(map[string]string{tagRoute: route}).Counter("missing_parts").Inc(int64(d.MissingParts))
	if d.Tenant != "" {
		m.scope.Tagged(map[string]string{
			tagTenant: boundedValue(m.tenants, maxTenants, d.Tenant), tagOutcome: relayOutcome(d, err),
		}).Counter("tenant_messages").Inc(1)
	}
}

// relayOutcome returns "whole", "partial", "passed" for a replica's response without
// a success status, or the reason of a refusal.
func relayOutcome(d ramp.RelayResult, err error) string {
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

// ObserveStoreRead counts a read of the store.
func (m *metrics) ObserveStoreRead(r fleet.StoreRead) {
	reader, outcome := "watcher", "answered"
	if r.Overdue {
		reader = "overdue"
	}
	switch {
	case r.Err != nil:
		outcome = "failed"
	case r.Stale:
		outcome = "stale"
	}
	m.scope.Tagged(map[string]string{"reader": reader, tagOutcome: outcome}).Counter("store_reads").Inc(1)
	if r.Err == nil {
		m.scope.Tagged(map[string]string{"reader": reader}).Counter("store_entries").Inc(int64(r.Entries))
		m.setGauge("store_era", float64(r.Era))
	}
}

// ObserveBlock counts a message that was blocked because it ends replicas.
func (m *metrics) ObserveBlock() { m.scope.Counter("blocks").Inc(1) }

// ObserveGossip counts an exchange that this daemon began with another one.
func (m *metrics) ObserveGossip(outcome fleet.GossipOutcome) {
	m.scope.Tagged(map[string]string{tagOutcome: string(outcome)}).Counter("gossip").Inc(1)
}

// edgeGauges holds the values of an edge daemon's gauges.
type edgeGauges struct {
	plan.State                   // of the admission of tenants' requests
	routingVersion uint64        // version of the routing in force
	confirmedAge   time.Duration // age of the daemon's view of the store
	members        int           // daemons in the fleet
	replicas       int           // registered replicas
	queuedTasks    int           // tasks waiting for a worker
	droppedLines   int           // log lines dropped since the start
	evacuated      int           // failure domains that are evacuated
	leaving        bool
}

// EdgeHandler serves the metrics of an edge daemon like Handler.
func (m *metrics) EdgeHandler(read func() edgeGauges) http.HandlerFunc {
	text := m.reporter.HTTPHandler()
	return func(w http.ResponseWriter, r *http.Request) {
		s := read()
		m.setGauge("version", float64(s.routingVersion))
		m.setGauge("age", s.confirmedAge.Seconds())
		m.setGauge("members", float64(s.members))
		m.setGauge("replicas", float64(s.replicas))
		m.setGauge("tasks", float64(s.queuedTasks))
		m.setGauge("dropped_lines", float64(s.droppedLines))
		m.setGauge("evacuated_domains", float64(s.evacuated))
		m.setAdmissionGauges(s.State)
		leaving := 0.0
		if s.leaving {
			leaving = 1
		}
		m.setGauge("leaving", leaving)
		text.ServeHTTP(w, r)
	}
}
