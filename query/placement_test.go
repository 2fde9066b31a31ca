package query

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestPlacement records to which failure domains requests go first: equal ones get
// equal shares, whatever their names and number, and slow, loaded or small ones less.
// With ties broken by the name, one domain got all requests.
func TestPlacement(t *testing.T) {
	const requests = 6000
	tests := []struct {
		name    string
		domains []string
		daemons map[string]int // 10 if missing
		fewer   bool           // the first domain has half as many parts as the others
		observe func(*placement)
	}{
		{"equal domains", []string{"a", "b", "c"}, nil, false, func(*placement) {}},
		{"the same in another order", []string{"c", "b", "a"}, nil, false, func(*placement) {}},
		{"one with half of the parts", []string{"a", "b", "c"}, nil, true, func(*placement) {}},
		{"one domain", []string{"a"}, nil, false, func(*placement) {}},
		{"one with few daemons", []string{"a", "b", "c"}, map[string]int{"b": 2}, false, func(*placement) {}},
		{"one without daemons", []string{"a", "b", "c"}, map[string]int{"b": 0}, false, func(*placement) {}},
		{"no daemons anywhere", []string{"a", "b"}, map[string]int{"a": 0, "b": 0}, false, func(*placement) {}},
		{"a slow one", []string{"a", "b", "c"}, nil, false, func(p *placement) {
			for _, domain := range []string{"a", "b", "c"} {
				elapsed := 10 * time.Millisecond
				if domain == "c" {
					elapsed = 60 * time.Millisecond
				}
				for range 20 {
					p.observe(domain, elapsed, 0, 0)
				}
			}
		}},
		{"a slow one, 20 s later", []string{"a", "b"}, nil, false, func(p *placement) {
			for range 20 {
				p.observe("a", 90*time.Millisecond, 0, 0)
				p.observe("b", 10*time.Millisecond, 0, 0)
			}
			time.Sleep(20 * time.Second)
		}},
		{"one whose parts are missing", []string{"a", "b", "c"}, nil, false, func(p *placement) {
			for range 20 {
				p.observe("a", 10*time.Millisecond, 0, 120*time.Millisecond)
				p.observe("b", 10*time.Millisecond, 0.5, 120*time.Millisecond)
				p.observe("c", 10*time.Millisecond, 0, 120*time.Millisecond)
			}
		}},
		{"one with parts outstanding", []string{"a", "b", "c"}, nil, false, func(p *placement) { p.start("a", 100) }},
		{"the same after they ended", []string{"a", "b", "c"}, nil, false, func(p *placement) {
			p.start("a", 100)
			p.end("a", 100)
		}},
	}
	var b strings.Builder
	for _, test := range tests {
		synctest.Test(t, func(*testing.T) {
			p := newPlacement(ramp.SystemClock{})
			p.random = rand.New(rand.NewPCG(1, 2)).Float64
			test.observe(p)
			first := map[string]int{}
			for range requests {
				parts := make(map[string]int)
				for i, domain := range test.domains {
					if parts[domain] = 10; test.fewer && i == 0 {
						parts[domain] = 5
					}
				}
				order := p.order(parts, func(domain string) int {
					if n, ok := test.daemons[domain]; ok {
						return n
					}
					return 10
				})
				first[order[0]]++
				if len(order) != len(test.domains) {
					t.Fatalf("%s: order %v of domains %v", test.name, order, test.domains)
				}
			}
			fmt.Fprintf(&b, "%s:", test.name)
			for _, domain := range test.domains {
				fmt.Fprintf(&b, " %s=%.2f", domain, float64(first[domain])/requests)
			}
			b.WriteByte('\n')
		})
	}
	golden.Check(t, "placement", b.String())
}
