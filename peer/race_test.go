//go:build race

package peer

// fleetSizes are the numbers of daemons that are measured under the race detector,
// which is slow.
var fleetSizes = []int{4}
