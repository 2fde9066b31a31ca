package sycamoreramp

import "time"

// Signals are what a replica says of itself in a response. They are about the start of the
// replica that sent them. It is an immutable value.
type Signals struct {
	Limited   bool    // the replica named a rate limit, which holds until a response names none
	RateLimit float64 // requests per second that it accepts from all daemons together; finite, at least 0
	Leaving   bool    // the replica shuts down and will accept no more requests
	// RetryAfter is the time for which the replica, which refused a request, accepts no
	// other one of this daemon. It is 0 for none.
	RetryAfter time.Duration
	Load       *ReplicaLoad // what it said of its load; nil for nothing; never modified
	// StatesWarmup reports whether the replica said for how long it is still cold.
	StatesWarmup bool
	WarmupLeft   time.Duration // for which it is still cold, if StatesWarmup is set; not negative
	Ignored      string        // names of the fields whose values were unusable, separated by spaces; "" for none
}

// WithRateLimit returns the signals with a rate limit. Of several, the lowest holds.
func (s Signals) WithRateLimit(perSecond float64) Signals {
	if !s.Limited || perSecond < s.RateLimit {
		s.Limited, s.RateLimit = true, perSecond
	}
	return s
}

// WithLeaving returns the signals of a replica that shuts down.
func (s Signals) WithLeaving() Signals {
	s.Leaving = true
	return s
}

// WithRetryAfter returns the signals with a time for which the replica accepts no request.
// Of several, the longest holds.
func (s Signals) WithRetryAfter(d time.Duration) Signals {
	s.RetryAfter = max(s.RetryAfter, d)
	return s
}

// ReplicaLoad is what a replica said of its load. It is old as soon as it is read.
type ReplicaLoad struct {
	Running  int     // requests that it works on; not negative
	Waiting  int     // requests in its queue; not negative
	Slots    int     // requests that it works on at once; positive
	Slowdown float64 // how much longer than usual work takes on its machine; 1 is usual, positive
}

// WithLoad returns the signals with what the replica said of its load.
func (s Signals) WithLoad(l ReplicaLoad) Signals {
	s.Load = &l
	return s
}

// WithWarmup returns the signals of a replica that is cold for the given time.
func (s Signals) WithWarmup(left time.Duration) Signals {
	s.StatesWarmup, s.WarmupLeft = true, left
	return s
}

// Lasting returns the signals without those that differ in each response.
func (s Signals) Lasting() Signals {
	s.Load, s.StatesWarmup, s.WarmupLeft = nil, false, 0
	return s
}

// WithIgnored returns the signals with the name of a field whose value was unusable.
func (s Signals) WithIgnored(field string) Signals {
	if s.Ignored != "" {
		s.Ignored += " "
	}
	s.Ignored += field
	return s
}

// LimitShare is a daemon's share of a replica's rate limit. It is an immutable value.
type LimitShare struct {
	Rate float64 // requests per second that the daemon may send; 0 for none
	// ProbeInterval is the time between requests that the daemon may send beyond its rate,
	// to learn whether the limit still holds. It is positive.
	ProbeInterval time.Duration
}

// LimitSharer divides the rate limits of replicas among the daemons.
type LimitSharer interface {
	// Share returns this daemon's share when all daemons together may send the replica
	// limit requests per second. The rates of all daemons add up to at most limit, and
	// no more daemons than limit have one, unless it is below 1.
	Share(r Replica, limit float64) LimitShare
}

// ColdLimit is the limit on the requests to a cold replica.
type ColdLimit struct {
	Rate      float64 // requests per second that it accepts from all daemons together; positive
	Collected bool    // its service is part of a gathered route, so delegates send it most requests
}

// ColdSharer divides the rates of cold replicas among the daemons.
type ColdSharer interface {
	// ColdRate returns the requests per second that this daemon may send to the replica
	// while it is cold, 0 for none. The daemon may hold one token for a request besides.
	ColdRate(i Instance, limit ColdLimit) float64
}
