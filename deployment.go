package sycamoreramp

import "time"

// Deployment is what a daemon is told of the place that it runs in.
type Deployment struct {
	Name      string   // of the machine; unique in the fleet
	Domain    string   // failure domain
	IP        string   // of the machine
	Store     string   // IP number and port of the platform's store
	Seeds     []string // IP numbers and ports of a few daemons, which may be stale; never modified
	Callers   string   // listens here for callers
	Directory string   // listens here for callers that ask where to connect
	Readiness string   // listens here for checks of whether the daemon is ready
	Daemons   string   // listens here for other daemons

	Bound        time.Duration // within which what the store says must take effect
	Drain        time.Duration // within which a leaving replica must get nothing new
	Grace        time.Duration // from being told to stop until being killed
	AddressLife  time.Duration // most that a caller keeps an answer about addresses
	RepeatRatio  float64       // repeats for each request to a service, of all daemons together
	RepeatSlack  float64       // repeats besides, in each window
	RepeatWindow time.Duration
}
