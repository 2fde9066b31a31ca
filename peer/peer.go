// Package peer carries messages between daemons by drpc.
package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/peer/wire"
)

// Limits of the connections between daemons.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = time.Minute
	perDaemon   = 8   // kept connections to one daemon
	inAll       = 256 // kept connections to all daemons
)

// managed lets a call be cancelled without closing its connection.
var managed = drpcmanager.Options{SoftCancel: true}

// errCredential is the cause of a refused call between daemons.
var errCredential = errors.New("the credential between daemons is wrong")

// Client calls other daemons over kept connections. It implements
// [ramp.Peers] and never repeats a call.
type Client struct {
	clock      ramp.Clock
	credential string // shared by all daemons
	pool       *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client that shows the credential with each call.
func NewClient(credential string, clock ramp.Clock) *Client {
	options := drpcpool.Options{Expiration: idleTimeout, Capacity: inAll, KeyCapacity: perDaemon}
	return &Client{clock: clock, credential: credential, pool: drpcpool.New[string, drpcpool.Conn](options)}
}

// Close closes the kept connections.
func (c *Client) Close() error { return c.pool.Close() }

// Gossip implements [ramp.Peers].
func (c *Client) Gossip(ctx context.Context, to ramp.Daemon, news ramp.GossipMessage) (ramp.GossipMessage, error) {
	request, err := encodeNews(news, c.credential)
	if err != nil {
		return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Cause: err}
	}
	reply, err := c.daemon(ctx, to).Exchange(ctx, request)
	if err != nil {
		return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: err}
	}
	return decodeNews(reply)
}

func (c *Client) daemon(ctx context.Context, to ramp.Daemon) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(c.pool.Get(ctx, to.PeerAddress, dial))
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(connection), nil
}

// dialler opens connections for one call and notes when that failed, so that
// nothing was sent.
type dialler struct {
	failed bool
}

func (c *dialler) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	opened, err := dial(ctx, address)
	c.failed = err != nil
	return opened, err
}

// Server serves the calls of other daemons.
type Server struct {
	handler    ramp.PeerHandler
	clock      ramp.Clock
	credential string
	collector  ramp.CollectHandler // nil for none
	calls      calls
}

// NewServer returns a server that refuses calls without the credential.
func NewServer(handler ramp.PeerHandler, credential string, clock ramp.Clock) *Server {
	return &Server{handler: handler, clock: clock, credential: credential, calls: calls{idle: make(chan struct{}, 1)}}
}

// Serve accepts connections until ctx ends. Calls in progress are then cut; see
// [Server.Drain].
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	if err := wire.DRPCRegisterHandover(mux, s); err != nil {
		return err
	}
	if s.collector != nil {
		if err := wire.DRPCRegisterGather(mux, s); err != nil {
			return err
		}
	}
	server := drpcserver.NewWithOptions(s.calls.count(mux), drpcserver.Options{Manager: managed})
	return server.Serve(ctx, listener)
}

// Drain waits until no call of another daemon is in progress and all replies
// are sent, or returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error { return s.calls.wait(ctx) }

// Exchange implements the generated server interface.
func (s *Server) Exchange(_ context.Context, request *wire.News) (*wire.News, error) {
	if !s.admits(request.GetCredential()) {
		return nil, errCredential
	}
	news, err := decodeNews(request)
	if err != nil {
		return nil, err
	}
	return encodeNews(s.handler.HandleGossip(news), s.credential)
}

func (s *Server) admits(credential string) bool {
	return subtle.ConstantTimeCompare([]byte(credential), []byte(s.credential)) == 1
}
