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
	attempts []ramp.Attempt // in order of their start; never modified
	response ramp.Response  // the merged one, or else the last one that a replica gave
	merged   bool           // the response is in the answer; then closed is set
	closed   bool           // no attempt may start and no response may be merged

	context context.Context    // of the attempts; ends with the relay
	cancel  context.CancelFunc // cancels the attempts that are still in progress
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

// WithOutcome returns the part with the attempt of the same number replaced.
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

// WithFailure returns the part with a response that tells of a failure. It is
// passed on if nothing better came or comes.
func (p part) WithFailure(r ramp.Response) part {
	if r.Stamp != "" && !p.merged {
		p.response = r
	}
	return p
}

// withHop returns the part after the daemon that was asked for it has answered or
// failed.
func (p part) withHop(outcome ramp.Outcome, elapsed time.Duration) part {
	for _, a := range p.attempts {
		if a.Delegated && a.Outcome == ramp.Pending {
			p = p.WithOutcome(a.WithOutcome(outcome, max(0, elapsed-a.Started), true))
		}
	}
	return p
}

// withAsked returns the part with the replica that the daemon asked for it.
func (p part) withAsked(replica string) part {
	p.attempts = slices.Clone(p.attempts)
	for i := range p.attempts {
		if p.attempts[i].Delegated && replica != "" {
			p.attempts[i].Replica.ID = replica
		}
	}
	return p
}

// pending returns the number of attempts without an outcome.
func (p part) pending() int {
	n := 0
	for i := range p.attempts {
		if p.attempts[i].Outcome == ramp.Pending {
			n++
		}
	}
	return n
}

// sent returns the number of attempts that a replica may have got.
func (p part) sent() int {
	n := 0
	for i := range p.attempts {
		if p.attempts[i].Sent || p.attempts[i].Outcome == ramp.Pending {
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

// overdue reports whether the newest attempt has been pending for the delay.
func (p part) overdue(delay, elapsed time.Duration) bool {
	if p.closed || len(p.attempts) == 0 {
		return false
	}
	last := p.attempts[len(p.attempts)-1]
	return last.Outcome == ramp.Pending && elapsed-last.Started >= delay
}
