package peer

import (
	"context"
	"math"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/peer/wire"
)

// maxTokensPerCall is the greatest number of tokens that one call may ask for or return.
// It bounds what a malformed request can do.
const maxTokensPerCall = 1 << 20

// TakeTokens implements [ramp.TokenSource].
func (c *Client) TakeTokens(ctx context.Context, to ramp.Daemon, r ramp.TokenRequest) (ramp.TokenGrant, error) {
	d := &dialler{}
	client := wire.NewDRPCAllowancesClient(c.pool.Get(ctx, to.PeerAddress, d.dial))
	reply, err := client.Take(ctx, encodeTokenRequest(r, c.credential))
	if err != nil {
		return ramp.TokenGrant{}, &ramp.PeerError{Daemon: to.ID, Sent: !d.dialFailed, Cause: err}
	}
	return decodeTokenGrant(reply), nil
}

// WithTokenHandler sets the handler of requests for tokens and returns the server. It must
// be called before [Server.Serve].
func (s *Server) WithTokenHandler(handler ramp.TokenHandler) *Server {
	s.tokenHandler = handler
	return s
}

// Take implements [wire.DRPCAllowancesServer].
func (s *Server) Take(ctx context.Context, request *wire.TokenRequest) (*wire.TokenGrant, error) {
	if !s.validCredential(request.GetCredential()) {
		return nil, errCredential
	}
	return encodeTokenGrant(s.tokenHandler.HandleTokens(ctx, decodeTokenRequest(request))), nil
}

func encodeTokenRequest(r ramp.TokenRequest, credential string) *wire.TokenRequest {
	return &wire.TokenRequest{
		Credential: credential, Tenant: r.Tenant, Version: r.Version, Rate: r.Rate, Burst: r.Burst,
		Tokens: int64(r.Tokens), Returned: int64(r.Returned), LimitUs: r.Limit.Microseconds(), Relayed: r.Relayed,
	}
}

// decodeTokenRequest returns the request with its numbers limited to what an account can
// use: a rate or burst that is no quantity counts as 0.
func decodeTokenRequest(m *wire.TokenRequest) ramp.TokenRequest {
	return ramp.TokenRequest{
		Tenant: m.GetTenant(), Version: m.GetVersion(), Rate: quantity(m.GetRate()), Burst: quantity(m.GetBurst()),
		Tokens:   int(min(max(m.GetTokens(), 1), maxTokensPerCall)),
		Returned: int(min(max(m.GetReturned(), 0), maxTokensPerCall)),
		Limit:    time.Duration(m.GetLimitUs()) * time.Microsecond, Relayed: m.GetRelayed(),
	}
}

// quantity returns n if it is finite and not negative, 0 otherwise.
func quantity(n float64) float64 {
	if n >= 0 && !math.IsInf(n, 1) {
		return n
	}
	return 0
}

func encodeTokenGrant(g ramp.TokenGrant) *wire.TokenGrant {
	return &wire.TokenGrant{
		Tokens: int64(g.Tokens), AfterUs: g.After.Microseconds(), ValidUs: g.Validity.Microseconds(),
		Established: g.Established,
	}
}

func decodeTokenGrant(m *wire.TokenGrant) ramp.TokenGrant {
	return ramp.TokenGrant{
		Tokens: int(m.GetTokens()), After: time.Duration(m.GetAfterUs()) * time.Microsecond,
		Validity: time.Duration(m.GetValidUs()) * time.Microsecond, Established: m.GetEstablished(),
	}
}
