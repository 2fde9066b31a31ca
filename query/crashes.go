package query

import (
	"errors"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// blockedFor returns the time for which a message must not be sent. It computes the fingerprint
// only if any message is under suspicion.
func (r *Relay) blockedFor(fingerprint func() ramp.Fingerprint) time.Duration {
	if r.Crashes == nil || !r.Crashes.Active() {
		return 0
	}
	return r.Crashes.Blocked(fingerprint())
}

// blockedFor returns the time for which the message must not be sent.
func (e *execution) blockedFor() time.Duration { return e.relay.blockedFor(e.fingerprint) }

// suspected reports whether the message may be what ended replicas, so that it must not be
// repeated.
func (e *execution) suspected() bool {
	crashes := e.relay.Crashes
	return crashes != nil && crashes.Active() && !e.answered.Load() && crashes.Suspected(e.fingerprint())
}

// minPartsAnswered is the number of parts from which repeats wait for a first answer to the
// message. With fewer, one slow replica may be all that is asked.
const minPartsAnswered = 4

// holdsRepeat reports whether an attempt of the kind at the part must wait, since the message may
// end the replicas that run it: it is suspected, or within the objective no replica has answered
// any of its parts yet, so that none of them lags behind the others. A part that no replica has
// begun to run need not wait for that.
func (e *execution) holdsRepeat(kind ramp.AttemptKind, state part) bool {
	if kind == ramp.First || e.relay.Crashes == nil || e.answered.Load() {
		return false
	}
	waits := e.partCount >= minPartsAnswered && e.elapsed() < e.route.Objective && state.mayHaveRun()
	return waits || e.suspected()
}

// repeatLater calls repeat after a short time, for a retry that is held back. It reports false for
// a hedge, and when the retry would wait too long.
func (e *execution) repeatLater(kind ramp.AttemptKind, repeat func()) bool {
	if kind == ramp.Hedge || e.blockedFor() > 0 || e.elapsed() > e.route.Objective ||
		e.context.Err() != nil {
		return false
	}
	e.relay.Clock.AfterFunc(capacityRetryDelay, repeat)
	return true
}

// observeRun records what became of an attempt at a replica. The error is nil for a response.
func (e *execution) observeRun(replica string, err error) {
	var failed *ramp.AttemptError
	switch {
	case err == nil:
		e.observeAnswer()
	case errors.As(err, &failed) && failed.Crashed:
		e.observeCrash(replica)
	}
}

// observeAnswer records that a replica answered the message.
func (e *execution) observeAnswer() {
	if e.relay.Crashes == nil {
		return
	}
	e.answered.Store(true)
	if e.relay.Crashes.Active() {
		e.relay.Crashes.RecordAnswer(e.fingerprint())
	}
}

// observeCrash records that a replica ended while it had the message.
func (e *execution) observeCrash(replica string) {
	if e.relay.Crashes == nil || e.answered.Load() {
		return
	}
	e.relay.Crashes.RecordCrash(e.fingerprint(), replica)
}
