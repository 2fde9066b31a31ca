package sycamoreramp

import "time"

// Deployment is what a daemon is told of the place that it runs in.
type Deployment struct {
	Name             string   // of the machine; unique in the fleet
	Domain           string   // failure domain
	IP               string   // of the machine
	StoreAddress     string   // IP number and port of the platform's store
	Seeds            []string // IP numbers and ports of a few daemons, which may be stale; never modified
	CallerAddress    string   // listens here for callers
	DirectoryAddress string   // listens here for callers that ask where to connect
	ReadinessAddress string   // listens here for checks of whether the daemon is ready
	PeerAddress      string   // listens here for other daemons

	ApplyBound  time.Duration // within which what the store says must take effect
	DrainBound  time.Duration // within which a leaving replica must get nothing new
	GracePeriod time.Duration // from being told to stop until being killed
	AddressTTL  time.Duration // most that a caller keeps an answer about addresses
	RetryRatio  float64       // repeats for each request to a service, of all daemons together
	RetrySlack  float64       // repeats besides, in each window
	RetryWindow time.Duration
}
