// Package peer carries messages between daemons over drpc: gossip, forwarded orders,
// collect requests, and the ticket outcomes of leaving daemons.
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

// Limits of the connections to other daemons.
const (
	dialTimeout      = 500 * time.Millisecond
	idleTimeout      = time.Minute
	maxIdlePerDaemon = 8   // idle connections kept to one daemon
	maxIdle          = 256 // idle connections kept to all daemons
)

// managerOptions makes drpc keep the connection of a cancelled call open.
var managerOptions = drpcmanager.Options{SoftCancel: true}

// errCredential is the error for a call without the credential shared by all daemons.
var errCredential = errors.New("wrong credential for calls between daemons")

// Client calls other daemons over pooled connections. It implements [ramp.Peers],
// [ramp.Collector], [ramp.Handover] and [ramp.TokenSource], and never retries a call.
type Client struct {
	clock      ramp.Clock
	credential string // shared by all daemons
	pool       *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client that sends the credential with each call.
func NewClient(credential string, clock ramp.Clock) *Client {
	options := drpcpool.Options{Expiration: idleTimeout, Capacity: maxIdle, KeyCapacity: maxIdlePerDaemon}
	return &Client{clock: clock, credential: credential, pool: drpcpool.New[string, drpcpool.Conn](options)}
}

// Close closes the pooled connections.
func (c *Client) Close() error { return c.pool.Close() }

// Gossip implements [ramp.Peers].
func (c *Client) Gossip(ctx context.Context, to ramp.Daemon, m ramp.GossipMessage) (ramp.GossipMessage, error) {
	request, err := encodeGossip(m, c.credential)
	if err != nil {
		return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Cause: err}
	}
	reply, err := c.peerClient(ctx, to).Exchange(ctx, request)
	if err != nil {
		return ramp.GossipMessage{}, &ramp.PeerError{Daemon: to.ID, Sent: true, Cause: err}
	}
	return decodeGossip(reply)
}

// peerClient returns a client for the daemon that dials only when the pool has no
// connection.
func (c *Client) peerClient(ctx context.Context, to ramp.Daemon) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(c.pool.Get(ctx, to.PeerAddress, dial))
}

// dial opens a connection to the address, an IP number and a port.
func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(connection), nil
}

// dialler opens the connection for one call and records whether that failed: the
// request was then certainly not sent.
type dialler struct {
	dialFailed bool // the last dial failed; false if the pool had a connection
}

func (d *dialler) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	connection, err := dial(ctx, address)
	d.dialFailed = err != nil
	return connection, err
}

// Server serves the calls of other daemons.
type Server struct {
	handler        ramp.PeerHandler
	clock          ramp.Clock
	credential     string
	collectHandler ramp.CollectHandler // nil if the server serves no collect requests
	tokenHandler   ramp.TokenHandler   // nil if the server keeps no accounts of tenants
	calls          callCounter
}

// NewServer returns a server that rejects calls without the credential.
func NewServer(handler ramp.PeerHandler, credential string, clock ramp.Clock) *Server {
	return &Server{
		handler: handler, clock: clock, credential: credential, calls: callCounter{idle: make(chan struct{}, 1)},
	}
}

// Serve accepts connections until ctx ends, which aborts the calls in flight. Call
// [Server.Drain] first to let them finish.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	if err := wire.DRPCRegisterHandover(mux, s); err != nil {
		return err
	}
	if s.collectHandler != nil {
		if err := wire.DRPCRegisterGather(mux, s); err != nil {
			return err
		}
	}
	if s.tokenHandler != nil {
		if err := wire.DRPCRegisterAllowances(mux, s); err != nil {
			return err
		}
	}
	server := drpcserver.NewWithOptions(s.calls.wrap(mux), drpcserver.Options{Manager: managerOptions})
	return server.Serve(ctx, listener)
}

// Drain waits until no call of another daemon is in flight and all replies are sent.
// It returns the error of ctx if ctx ends first.
func (s *Server) Drain(ctx context.Context) error { return s.calls.wait(ctx) }

// Exchange implements [wire.DRPCPeerServer].
func (s *Server) Exchange(_ context.Context, request *wire.News) (*wire.News, error) {
	if !s.validCredential(request.GetCredential()) {
		return nil, errCredential
	}
	message, err := decodeGossip(request)
	if err != nil {
		return nil, err
	}
	return encodeGossip(s.handler.HandleGossip(message), s.credential)
}

// validCredential reports whether the credential is the server's, in constant time.
func (s *Server) validCredential(credential string) bool {
	return subtle.ConstantTimeCompare([]byte(credential), []byte(s.credential)) == 1
}
