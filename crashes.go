package sycamoreramp

import "time"

// CrashTracker recognises messages that end the replicas that run them, by what became of the
// attempts at them, so that they are not sent to further ones.
type CrashTracker interface {
	// Active reports whether anything is known of any message. Otherwise the other methods
	// need not be called, nor fingerprints be computed.
	Active() bool
	// Blocked returns the time for which messages with the fingerprint must not be sent, 0 if
	// they may be.
	Blocked(f Fingerprint) time.Duration
	// Suspected reports whether several replicas ended with the message and none answered it,
	// so that it must not be sent again while other attempts may still be answered.
	Suspected(f Fingerprint) bool
	// RecordCrash records that a replica ended while it had the message.
	RecordCrash(f Fingerprint, replica string)
	// RecordAnswer records that a replica answered the message.
	RecordAnswer(f Fingerprint)
}

// BlockedMessage tells of a message that must not be sent, or that is suspected. It is an immutable
// value.
type BlockedMessage struct {
	Fingerprint Fingerprint
	Left        time.Duration // for which it must not be sent; 0 if it is only suspected
	Times       int           // how often it was blocked so far; 0 while that is not decided
	Crashes     int           // number of replicas that ended with it
	Replicas    []string      // ids of these, if they ended lately; never modified
	Certainty   float64       // sum over the episodes of crashes of the chance that it was this message; not sent
}

// BlockList shares blocked messages among daemons.
type BlockList interface {
	// Blocks returns the messages that must not be sent now or are suspected, at most a few dozen.
	Blocks() []BlockedMessage
	// Import takes over those of another daemon, and returns the ones that are blocked since.
	Import(blocks []BlockedMessage) []BlockedMessage
}
