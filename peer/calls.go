package peer

import (
	"context"
	"sync/atomic"

	"storj.io/drpc"
)

// callCounter counts the calls in flight, from the receipt of the request until the
// reply is sent.
type callCounter struct {
	inFlight atomic.Int64
	idle     chan struct{} // capacity 1; signalled when inFlight drops to 0
}

// countingHandler counts the calls of the handler that it wraps.
type countingHandler struct {
	drpc.Handler
	counter *callCounter
}

// wrap returns the handler with its calls counted.
func (c *callCounter) wrap(handler drpc.Handler) drpc.Handler {
	return countingHandler{Handler: handler, counter: c}
}

// HandleRPC implements [drpc.Handler].
func (c countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	c.counter.inFlight.Add(1)
	defer c.counter.done()
	return c.Handler.HandleRPC(stream, rpc)
}

// done records the end of a call, and signals idle after the last one.
func (c *callCounter) done() {
	if c.inFlight.Add(-1) > 0 {
		return
	}
	select {
	case c.idle <- struct{}{}:
	default:
	}
}

// wait blocks until no call is in flight. It returns the error of ctx if ctx ends
// first.
func (c *callCounter) wait(ctx context.Context) error {
	for c.inFlight.Load() > 0 {
		select {
		case <-c.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
