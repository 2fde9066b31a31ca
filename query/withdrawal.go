package query

import (
	"context"
	"sync/atomic"
)

// The states of a withdrawal.
const (
	withdrawalOpen  = iota // no replica works on the message
	withdrawalHeld         // a replica may work on the message
	withdrawalTaken        // the message was withdrawn
)

// withdrawal decides whether a message that may run only once is withdrawn when its
// caller goes away: as long as no replica may work on it. Afterwards it runs to its end,
// unless the replica states that it did not run the message.
type withdrawal struct {
	caller context.Context // ends when the caller goes away
	state  atomic.Int32    // of the constants above; done is closed with the change to withdrawalTaken
	done   chan struct{}   // closed when the message was withdrawn
}

func newWithdrawal(caller context.Context) *withdrawal {
	return &withdrawal{caller: caller, done: make(chan struct{})}
}

// request withdraws the message unless a replica may work on it.
func (w *withdrawal) request() {
	if w.state.CompareAndSwap(withdrawalOpen, withdrawalTaken) {
		close(w.done)
	}
}

// beginSend records that the message is about to be sent. It reports false, and the
// message must not be sent, once it was withdrawn.
func (w *withdrawal) beginSend() bool {
	if w.caller.Err() != nil {
		w.request() // the call that the end of the caller starts may come later
	}
	return w.state.CompareAndSwap(withdrawalOpen, withdrawalHeld)
}

// endUnrun records that an attempt ended that cannot have run the message. It reports
// false when the message was withdrawn.
func (w *withdrawal) endUnrun() bool {
	w.state.CompareAndSwap(withdrawalHeld, withdrawalOpen)
	if w.caller.Err() != nil {
		w.request()
	}
	return w.state.Load() != withdrawalTaken
}
