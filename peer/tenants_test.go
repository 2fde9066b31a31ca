package peer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
)

// TestCollectRequestNamesTenantWithoutKey guards against a collect request that carries the
// key of a tenant, or without what the delegate needs to authorise its parts by its own view.
func TestCollectRequestNamesTenantWithoutKey(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	encoded := encodeCollectRequest(ramp.CollectRequest{
		Message: ramp.Message{
			ID: "m", Key: ramp.HashCredential("secret"), HasKey: true, Tenant: "t", Version: 7, Priority: 2,
			Fields: []ramp.Field{{Name: "Own", Value: "1"}}, TenantFields: []ramp.Field{{Name: "Key", Value: "secret"}},
		},
		Deadline: now.Add(time.Second),
	}, "", now)
	hash := ramp.HashCredential("secret")
	is.True(!strings.Contains(encoded.String(), "secret") && !strings.Contains(encoded.String(), string(hash[:])))
	m := decodeCollectRequest(encoded, now).Message
	is.Equal(m.Tenant, "t")
	is.Equal(m.Version, uint64(7))
	is.Equal(m.Priority, 2)
	is.True(!m.HasKey && len(m.TenantFields) == 0)
}
