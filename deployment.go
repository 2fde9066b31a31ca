package sycamoreramp

import "time"

// Deployment is the configuration that the platform gives to a daemon at its start.
type Deployment struct {
	Name             string   // name of the machine; unique in the fleet
	Domain           string   // failure domain
	IP               string   // IP number of the machine
	StoreAddress     string   // IP number and port of the platform's store
	Seeds            []string // IP numbers and ports of a few daemons, which may be stale; never modified
	CallerAddress    string   // listening address for callers
	DirectoryAddress string   // listening address for address look-ups by callers
	ReadinessAddress string   // listening address for readiness checks
	PeerAddress      string   // listening address for other daemons

	ApplyBound  time.Duration // time within which a change in the store must take effect
	DrainBound  time.Duration // time within which a draining replica must stop getting new requests
	MemoryLimit int64         // memory of the process, in bytes; 0 if not stated
	GracePeriod time.Duration // time from the stop signal to the kill
	AddressTTL  time.Duration // longest time for which a caller caches addresses
	RetryRatio  float64       // retries and hedges per request to a service, over all daemons
	RetrySlack  float64       // retries and hedges allowed on top of the ratio in each window
	RetryWindow time.Duration // window over which the retry budget is counted

	EvacuationBound time.Duration // time within which an evacuation must take effect; 0 if not stated
	// RevocationBound is the time after which a request must not run whose key was taken
	// away. It is 0 unless that holds for all daemons, in touch with the store or not.
	RevocationBound time.Duration
	Quota           QuotaBounds
	Warmup          WarmupBounds
	Capacity        Capacity
}

// QuotaBounds are the bounds on the requests of a tenant over all daemons: in any Window at
// most (rate x Window + burst) x (1 + Overshoot) + Slack.
type QuotaBounds struct {
	Window    time.Duration // 0 if not stated
	Overshoot float64       // not negative
	Slack     float64       // not negative
}

// WarmupBounds are the bounds on the requests to a cold replica over all daemons: in any
// second at most its rate x Overshoot + Slack.
type WarmupBounds struct {
	Overshoot float64 // at least 1, or 0 if not stated
	Slack     float64 // not negative
}
