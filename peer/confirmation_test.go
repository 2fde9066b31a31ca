package peer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
)

// TestGossipKeepsAgeOfConfirmation guards against a message that states a newer confirmation
// than its sender has, by which the receiver would go on using keys that were taken away. A
// sender without any confirmation states a negative age.
func TestGossipKeepsAgeOfConfirmation(t *testing.T) {
	is := is.New(t)
	for _, age := range []time.Duration{
		-time.Hour, -time.Millisecond, -1, 0, 1, 400 * time.Microsecond, time.Millisecond, 1500 * time.Microsecond, time.Hour,
		math.MaxInt64, // of lists that were never confirmed
	} {
		message, err := encodeGossip(ramp.GossipMessage{ConfirmedAge: age}, "")
		is.NoErr(err)
		decoded, err := decodeGossip(message)
		is.NoErr(err)
		is.Equal(decoded.ConfirmedAge < 0, age < 0) // no confirmation must not become one
		is.True(age < 0 || decoded.ConfirmedAge >= age || age-decoded.ConfirmedAge < time.Millisecond && age == math.MaxInt64)
	}
}
