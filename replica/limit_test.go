package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestTokenBucketDelay records how long a daemon waits for a token after it has used one.
// A delay that overflows is negative on some processors, and would lift the limit.
func TestTokenBucketDelay(t *testing.T) {
	var b strings.Builder
	now := time.Now()
	for _, rate := range []float64{1e6, 20, 1, 0.1, 1e-5, 1e-9, 1e-300, 0} {
		bucket := tokenBucket{}.withRate(rate, now).withTaken(now)
		delay := bucket.delay(now)
		text := delay.Round(time.Millisecond).String()
		if delay == neverDelay {
			text = "never"
		}
		later := bucket.delay(now.Add(time.Hour))
		fmt.Fprintf(&b, "rate %g: delay %s, none after an hour=%t\n", rate, text, later == 0)
	}
	golden.Check(t, "bucket", b.String())
}
