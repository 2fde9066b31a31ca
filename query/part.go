package query

import (
	"context"
	"slices"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// part is the progress of one service's part of an answer. It is an immutable
// value.
type part struct {
	service  string
	attempts []ramp.Attempt // in the order of their start; never modified
	response ramp.Response  // the merged response, or else the last failure with a signature
	merged   bool           // the response is part of the answer; implies closed
	closed   bool           // no attempt may start and no response may be merged any more

	context context.Context    // of the attempts; ends with the execution
	cancel  context.CancelFunc // cancels the attempts in flight
}

func newPart(ctx context.Context, service string) part {
	p := part{service: service}
	p.context, p.cancel = context.WithCancel(ctx)
	return p
}

func (p part) WithClosed() part {
	p.closed = true
	return p
}

func (p part) WithAttempt(a ramp.Attempt) part {
	p.attempts = append(slices.Clip(p.attempts), a)
	return p
}

// WithOutcome returns the part with the attempt of the same number replaced by
// a.
func (p part) WithOutcome(a ramp.Attempt) part {
	p.attempts = slices.Clone(p.attempts)
	for i := range p.attempts {
		if p.attempts[i].Number == a.Number {
			p.attempts[i] = a
		}
	}
	return p
}

func (p part) WithMerged(r ramp.Response) part {
	p.response = r
	p.merged = true
	return p.WithClosed()
}

// WithFailure returns the part with the response of a failed attempt, if it
// bears a signature and no response was merged. The caller gets that response
// if there is no success.
func (p part) WithFailure(r ramp.Response) part {
	if r.Stamp != "" && !p.merged {
		p.response = r
	}
	return p
}

// withDelegationOutcome returns the part with the outcome of its attempt through
// the delegate, if that is pending. Elapsed is the time since the message was
// received, and sent says whether the request may have reached a replica.
func (p part) withDelegationOutcome(
	delegate string, outcome ramp.Outcome, elapsed time.Duration, sent bool,
) part {
	if a, ok := p.delegatedAttempt(delegate); ok {
		return p.WithOutcome(a.WithOutcome(outcome, max(0, elapsed-a.Started), sent))
	}
	return p
}

// withDelegatedReplica returns the part with the id of the replica that the
// delegate sent its attempt to.
func (p part) withDelegatedReplica(delegate, replica string) part {
	if a, ok := p.delegatedAttempt(delegate); ok {
		a.Replica.ID = replica
		return p.WithOutcome(a)
	}
	return p
}

// awaitsDelegate reports whether the attempt through the delegate is pending.
func (p part) awaitsDelegate(delegate string) bool {
	_, ok := p.delegatedAttempt(delegate)
	return ok
}

// delegatedAttempt returns the pending attempt through the delegate.
func (p part) delegatedAttempt(delegate string) (ramp.Attempt, bool) {
	for _, a := range p.attempts {
		if a.Delegate == delegate && a.Outcome == ramp.Pending {
			return a, true
		}
	}
	return ramp.Attempt{}, false
}

// chooseTarget returns the failure domain for the next attempt, out of those with a
// healthy replica: the daemon's own one if there is any, or else the first one in
// the given order. It excludes the domains of earlier attempts. When no other is
// left it returns one whose delegate sent nothing for want of a healthy replica,
// which is then to use any. It reports false when there is none either.
func (p part) chooseTarget(healthy []string, own string, order []string) (target, bool) {
	untried := func(domain string) bool {
		return slices.Contains(healthy, domain) && len(p.attemptsIn(domain)) == 0
	}
	if untried(own) {
		return target{domain: own}, true
	}
	if i := slices.IndexFunc(order, untried); i >= 0 {
		return target{domain: order[i]}, true
	}
	if i := slices.IndexFunc(healthy, untried); i >= 0 { // it had no healthy replica when the order was drawn
		return target{domain: healthy[i]}, true
	}
	for _, a := range p.attempts {
		if in := p.attemptsIn(a.Replica.Domain); len(in) == 1 && a.Delegate != "" && a.Outcome == ramp.NotStarted {
			return target{domain: a.Replica.Domain, insists: true}, true
		}
	}
	return target{}, false
}

// attemptsIn returns the attempts at replicas in the failure domain.
func (p part) attemptsIn(domain string) []ramp.Attempt {
	return slices.DeleteFunc(slices.Clone(p.attempts), func(a ramp.Attempt) bool { return a.Replica.Domain != domain })
}

// pendingCount returns the number of pending attempts.
func (p part) pendingCount() int {
	n := 0
	for i := range p.attempts {
		if p.attempts[i].Outcome == ramp.Pending {
			n++
		}
	}
	return n
}

// sentCount returns the number of attempts that may have reached a replica of the
// service.
func (p part) sentCount() int {
	n := 0
	for i := range p.attempts {
		a := &p.attempts[i]
		if a.Outcome == ramp.Pending || a.Sent && a.Outcome != ramp.Misdirected {
			n++
		}
	}
	return n
}

// mayHaveRun reports whether a replica may have run the request.
func (p part) mayHaveRun() bool {
	return slices.ContainsFunc(p.attempts, func(a ramp.Attempt) bool {
		return a.Outcome == ramp.Pending || a.Sent && !a.NotRun
	})
}

// overdue reports whether the newest attempt has been pending for at least the
// delay. Elapsed is the time since the message was received.
func (p part) overdue(delay, elapsed time.Duration) bool {
	if p.closed || len(p.attempts) == 0 {
		return false
	}
	last := p.attempts[len(p.attempts)-1]
	return last.Outcome == ramp.Pending && elapsed-last.Started >= delay
}
