//go:build !lockorder

package bench

import "testing"

func TestProbe(t *testing.T) {
	for _, x := range []float64{1, 2, 4} {
		fleet := tenantFleets()["gathered"].withRanks(x)
		ranks, all := fleet.sum(fleet.measureTenants(t))
		t.Logf("%.0f %d %.3f %.3f %.3f %+v", x, all.inTime, ranks[0].share(), ranks[1].share(), ranks[2].share(), ranks[0])
	}
	fleet := tenantFleets()["split"]
	fleet.slow, fleet.slowFactor = 1.0/3, 3
	for range 9 {
		fleet = fleet.withTenant(0, .06)
	}
	_, all := fleet.sum(fleet.withTenant(0, 9*.06).measureTenants(t))
	t.Logf("flood %.3f %+v", all.share(), all)
}
