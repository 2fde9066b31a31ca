package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
)

// tokenKeeper answers each request after a delay, and records it.
type tokenKeeper struct {
	delay    time.Duration
	requests chan ramp.TokenRequest
}

// HandleTokens implements [ramp.TokenHandler].
func (k tokenKeeper) HandleTokens(_ context.Context, r ramp.TokenRequest) ramp.TokenGrant {
	time.Sleep(k.delay)
	k.requests <- r
	return ramp.TokenGrant{Tokens: 2, After: time.Second, Validity: 125 * time.Millisecond, Established: true}
}

// TestTakeTokens guards against fields that are lost on the way, and against a call that
// goes on after its limit.
func TestTakeTokens(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	keeper := tokenKeeper{delay: 50 * time.Millisecond, requests: make(chan ramp.TokenRequest, 2)}
	server := NewServer(nil, "secret", ramp.SystemClock{}).WithTokenHandler(keeper)
	go func() { _ = server.Serve(t.Context(), listener) }()
	client := NewClient("secret", ramp.SystemClock{})
	to := ramp.Daemon{ID: "d1", PeerAddress: listener.Addr().String()}
	sent := ramp.TokenRequest{
		Tenant: "t1", Version: 7, Rate: 1.5, Burst: 3, Tokens: 2, Returned: 1, Limit: 20 * time.Millisecond, Relayed: true,
	}
	grant, err := client.TakeTokens(t.Context(), to, sent)
	is.NoErr(err)
	is.Equal(<-keeper.requests, sent)
	is.Equal(grant, ramp.TokenGrant{
		Tokens: 2, After: time.Second, Validity: 125 * time.Millisecond, Established: true,
	})
	limited, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err = client.TakeTokens(limited, to, sent)
	var failed *ramp.PeerError
	is.True(errors.As(err, &failed))
	_, err = NewClient("wrong", ramp.SystemClock{}).TakeTokens(t.Context(), to, sent)
	is.True(errors.As(err, &failed))
}
