package fleet

import (
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Shares of the time within which a key that was taken away must not be used any more.
const (
	// validityShare is the share for which a request may be sent after the last
	// confirmation of the version that it was authorised under. The rest is for the way from
	// the check before the first byte to the replica.
	validityShare = 0.94
	// confirmShare is the share within which a daemon renews its confirmation. A daemon that
	// loses its last path to the store must serve requests with keys for 0.6 of the bound, so
	// its confirmation must not be older than 0.34 of it. A daemon reads the store itself at
	// [confirmWatchShare] of this share, and the reply takes some time.
	confirmShare = 0.4
)

// maxSupersessions bounds the number of superseded versions that are kept: 15 s of a
// version every 0.06 s.
const maxSupersessions = 256

// Authorization decides how long requests may still be sent that were authorised by a key,
// by the daemon's own view of the operator's configuration. It implements
// [ramp.Authorizer].
//
// A request that was authorised under a version may be sent until the last time at which
// this daemon knows that this version, or an older one, was the newest, plus a validity.
// A key that was taken away was valid at that time, so that the store acknowledged the
// removal later. The rule needs no clock of another daemon, and holds under any load: a
// request that waits in a queue is checked again right before its first byte.
//
// Times are counted by the clock that goes on while the machine is suspended.
type Authorization struct {
	boot     ramp.BootClock
	bound    time.Duration
	validity time.Duration
	state    *ramp.Table[string, authorizationState] // a single entry under the key ""
}

// NewAuthorization returns an authorization without a confirmation. A key that was taken
// away must not be used after the bound.
func NewAuthorization(bound time.Duration, boot ramp.BootClock) *Authorization {
	return &Authorization{
		boot: boot, bound: bound, validity: time.Duration(validityShare * float64(bound)),
		state: ramp.NewTable[string, authorizationState](ramp.RankLists),
	}
}

// ConfirmWithin returns the time within which a daemon must renew its confirmation to keep
// its requests authorised.
func (a *Authorization) ConfirmWithin() time.Duration {
	return time.Duration(confirmShare * float64(a.bound))
}

// ValidFor implements [ramp.Authorizer]. A negative result is the time since the requests
// might last be sent.
func (a *Authorization) ValidFor(version uint64) time.Duration {
	s, _ := a.state.Get("")
	at, known := s.confirmedFor(version)
	if !known {
		return 0
	}
	return at + a.validity - a.boot.Uptime()
}

// Confirm records that the newest version was the store's at an uptime. All versions that
// the store acknowledged before must have been passed to Found.
func (a *Authorization) Confirm(at time.Duration) {
	a.state.Update("", func(s authorizationState) authorizationState { return s.WithConfirmed(at) })
}

// Found records a version. No confirmation of a view that contains it may have been recorded
// before.
func (a *Authorization) Found(version uint64) {
	now := a.boot.Uptime()
	a.state.Update("", func(s authorizationState) authorizationState {
		return s.WithVersion(version).WithoutExpired(now - a.validity)
	})
}

// authorizationState is what a daemon knows of the versions of the configuration. It is an
// immutable value.
type authorizationState struct {
	version     uint64         // newest version; 0 for none
	confirmed   time.Duration  // uptime of the last confirmation; meaningless unless isConfirmed is set
	isConfirmed bool           // there was a confirmation
	superseded  []supersession // the versions up to the newest one, oldest first; never modified
	least       uint64         // requests that were authorised under older versions are refused
}

// supersession is the replacement of all older versions by a version.
type supersession struct {
	version   uint64
	confirmed time.Duration // uptime of the last confirmation before the version was found
}

// confirmedFor returns the last uptime at which the given version, or an older one, was
// known to be the newest.
func (s authorizationState) confirmedFor(version uint64) (time.Duration, bool) {
	switch {
	case !s.isConfirmed || version < s.least:
		return 0, false
	case version >= s.version:
		return s.confirmed, true
	}
	for _, next := range s.superseded {
		if next.version > version {
			return next.confirmed, true
		}
	}
	return 0, false
}

// WithConfirmed returns the state with the later of its confirmation and at.
func (s authorizationState) WithConfirmed(at time.Duration) authorizationState {
	if !s.isConfirmed || at > s.confirmed {
		s.confirmed, s.isConfirmed = at, true
	}
	return s
}

// WithVersion returns the state with a version, unless the newest one is at least as new.
// Without a confirmation, nothing is known of older versions.
func (s authorizationState) WithVersion(version uint64) authorizationState {
	if version <= s.version {
		return s
	}
	s.version = version
	if !s.isConfirmed {
		s.least, s.superseded = version, nil
		return s
	}
	s.superseded = append(slices.Clone(s.superseded), supersession{version: version, confirmed: s.confirmed})
	return s
}

// WithoutExpired returns the state without the supersessions whose confirmation is before
// the given uptime, and with the newest maxSupersessions at most. Requests that were
// authorised under earlier versions than the dropped ones are refused.
func (s authorizationState) WithoutExpired(before time.Duration) authorizationState {
	for len(s.superseded) > 0 && (s.superseded[0].confirmed < before || len(s.superseded) > maxSupersessions) {
		s.least = s.superseded[0].version
		s.superseded = s.superseded[1:]
	}
	return s
}
