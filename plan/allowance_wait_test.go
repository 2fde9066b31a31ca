package plan

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/fleet"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// silentSource is a [ramp.TokenSource] without an answer.
type silentSource struct{}

func (silentSource) TakeTokens(
	ctx context.Context, to ramp.Daemon, _ ramp.TokenRequest,
) (ramp.TokenGrant, error) {
	<-ctx.Done()
	return ramp.TokenGrant{}, &ramp.PeerError{Daemon: to.ID, Cause: ctx.Err()}
}

// newLimiter returns the limiter of the daemon "self" in a fleet of the given daemons,
// none of which answers, and a function that returns its log without times.
func newLimiter(others ...string) (l *AllowanceLimiter, log func() string) {
	self := ramp.Daemon{ID: "self", Incarnation: "self"}
	members, routes := fleet.NewMembers(self, ramp.SystemClock{}), fleet.NewRoutes()
	daemons := []ramp.Daemon{self}
	for _, id := range others {
		daemons = append(daemons, ramp.Daemon{ID: id, Incarnation: id})
	}
	members.Update(daemons)
	var lines bytes.Buffer
	handler := slog.NewTextHandler(&lines, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}})
	return NewAllowanceLimiter(AllowanceConfig{
		Clock: ramp.SystemClock{}, Log: slog.New(handler), Self: self, Bounds: quotaBounds, Ranker: members,
		Source: silentSource{}, Routes: routes, FleetSize: func() int { return len(daemons) },
		InTouch: func() bool { return true }, Pauses: func() uint64 { return 0 },
		Observe: func(string, AllowanceOutcome) {},
	}), lines.String
}

// TestSilentOwner guards against requests that wait too long for daemons that do not
// answer, and against each of them waiting.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, log := newLimiter("a", "b", "c", "d")
		tenant := tenantNamed("t0", 1, 1)
		for i := 0; l.Ranker.Ranked(tenant.Name, 3)[2].ID != "self"; i++ {
			tenant = tenantNamed(fmt.Sprint("t", i), 1, 1)
		}
		request := ramp.AllowanceRequest{Tenant: tenant, Version: 1, Objective: 80 * time.Millisecond}
		started := time.Now()
		is.NoErr(l.Take(t.Context(), request)) // this daemon stands in
		is.Equal(time.Since(started), 2*20*time.Millisecond)
		started = time.Now()
		_ = l.Take(t.Context(), request)
		is.Equal(time.Since(started), time.Duration(0))
		is.Equal(strings.Count(log(), "did not answer"), 2)
	})
}

// TestExceedingIsLogged guards against a line for each refused request, and against one
// that is missing when a tenant exceeds its allowance or ends it.
func TestExceedingIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, log := newLimiter()
		request := ramp.AllowanceRequest{Tenant: tenantNamed("busy", 2, 2), Version: 1}
		time.Sleep(quotaBounds.Window)
		for range 60 { // 20 a second for 3 s
			_ = l.Take(t.Context(), request)
			time.Sleep(50 * time.Millisecond)
		}
		for range 10 { // 1 a second
			time.Sleep(time.Second)
			is.NoErr(l.Take(t.Context(), request))
		}
		golden.Check(t, "allowancelog", log()+fmt.Sprintf("%+v\n", l.Views()))
	})
}

// TestUnregisteredOwnerKeepsNoAccount guards against a daemon that the store no longer lists,
// while other daemons still answer it, and that goes on granting the whole allowance beside
// the daemon that has taken over the account.
func TestUnregisteredOwnerKeepsNoAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, _ := newLimiter()
		registered := true
		l.Registered = func() bool { return registered }
		request := ramp.AllowanceRequest{Tenant: tenantNamed("busy", 10, 10), Version: 1}
		granted := func() int {
			n := 0
			for range 100 { // 20 a second for a window
				if l.Take(t.Context(), request) == nil {
					n++
				}
				time.Sleep(quotaBounds.Window / 100)
			}
			return n
		}
		time.Sleep(2 * quotaBounds.Window)
		is.True(granted() > 50) // the whole allowance
		registered = false
		is.True(float64(granted()) <= tolerance(quotaBounds, 10, 10)/4)
	})
}
