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
}
