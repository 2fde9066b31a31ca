package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// lateHandler answers a collection with its id, and sends a second copy when release is
// closed, although the caller has given up.
type lateHandler struct {
	staticHandler
	release chan struct{}
	sent    chan struct{} // receives a value once the second copy was sent or dropped
}

// HandleCollect implements [ramp.CollectHandler].
func (h lateHandler) HandleCollect(_ context.Context, c ramp.CollectRequest, send func(ramp.Batch) error) error {
	batch := ramp.Batch{Received: []ramp.ReceivedPart{{Stamp: c.Message.ID}}}
	err := send(batch)
	if c.Message.ID != "first" {
		return err
	}
	<-h.release // also after an error: the caller may cancel the call before send returns
	err = errors.Join(err, send(batch))
	h.sent <- struct{}{}
	return err
}

// TestLateBatchReachesNoOtherCall guards against a batch that comes late, on a connection
// that another collection uses by then. Cancelled calls keep their connections open.
func TestLateBatchReachesNoOtherCall(t *testing.T) {
	is := is.New(t)
	handler := lateHandler{release: make(chan struct{}), sent: make(chan struct{}, 1)}
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		_ = NewServer(handler, "", ramp.SystemClock{}).WithCollectHandler(handler).Serve(t.Context(), listener)
	}()
	client := NewClient("", ramp.SystemClock{})
	defer func() { _ = client.Close() }()
	to := ramp.Daemon{ID: "d", PeerAddress: listener.Addr().String()}
	var b strings.Builder
	collect := func(ctx context.Context, id string, received func()) {
		request := ramp.CollectRequest{
			Message: ramp.Message{ID: id}, Services: []string{"s"}, Deadline: time.Now().Add(time.Minute),
		}
		_ = client.Collect(ctx, to, request, func(batch ramp.Batch) { // the first call is cancelled
			fmt.Fprintf(&b, "%s call got the batch of the %s\n", id, batch.Received[0].Stamp)
			received()
		})
	}
	first, cancel := context.WithCancel(t.Context())
	collect(first, "first", cancel)
	// The second call waits on the connection until the server has ended the first one.
	defer time.AfterFunc(100*time.Millisecond, func() { close(handler.release) }).Stop()
	collect(t.Context(), "second", func() {})
	<-handler.sent
	for _, id := range []string{"third", "fourth"} {
		collect(t.Context(), id, func() {})
	}
	golden.Check(t, "latebatch", b.String())
}
