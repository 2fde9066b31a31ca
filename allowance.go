package sycamoreramp

import (
	"context"
	"time"
)

// TokenRequest asks a daemon for tokens of a tenant's allowance.
type TokenRequest struct {
	Tenant   string
	Version  uint64        // version of the configuration that Rate and Burst are from
	Rate     float64       // requests per second over all daemons
	Burst    float64       // requests beyond Rate that may come at once
	Tokens   int           // tokens that are wanted; at least 1
	Returned int           // tokens of earlier grants of this daemon that were not used
	Limit    time.Duration // time for which the daemon that asks waits
	Relayed  bool          // a daemon asks that was asked itself; such a request is not passed on
}

// TokenGrant is the answer to a [TokenRequest].
type TokenGrant struct {
	Tokens      int           // tokens that may be used; 0 for none
	After       time.Duration // time until a token is due, if there is none
	Validity    time.Duration // time after which unused tokens expire
	Established bool          // the account grants the tenant's whole rate
}

// TokenSource asks other daemons for tokens.
type TokenSource interface {
	// TakeTokens returns the answer of the other daemon, or a [*PeerError].
	TakeTokens(ctx context.Context, to Daemon, r TokenRequest) (TokenGrant, error)
}

// TokenHandler serves the requests of other daemons for tokens.
type TokenHandler interface {
	// HandleTokens returns what the account of the tenant grants.
	HandleTokens(ctx context.Context, r TokenRequest) TokenGrant
}

// RankedDaemon is a member of the fleet in the order for a key.
type RankedDaemon struct {
	Daemon
	Unresponsive bool // it failed to answer lately
}

// DaemonRanker ranks the members of the fleet, this daemon included.
type DaemonRanker interface {
	// Ranked returns members in the order of rendezvous hashing for the key, until count
	// of them are not leaving. A change of the membership changes the order of no others.
	Ranked(key string, count int) []RankedDaemon
	// ChangedAt returns when a member was last added or removed, or began to leave; zero
	// for never.
	ChangedAt() time.Time
	// HasMajority reports whether this daemon and the members that answer its calls are
	// more than half of all, as estimated from recent calls.
	HasMajority() bool
}

// AllowanceView is a daemon's view of the account of a tenant that it keeps.
type AllowanceView struct {
	Tenant      string  `json:"tenant"`
	Tokens      float64 `json:"tokens"`
	Rate        float64 `json:"rate"`
	Burst       float64 `json:"burst"`
	Version     uint64  `json:"version"` // version of the configuration that Rate and Burst are from
	Established bool    `json:"established"`
	Exceeding   bool    `json:"exceeding"` // tokens were refused lately
	Granted     uint64  `json:"granted"`
	Refused     uint64  `json:"refused"`
}
