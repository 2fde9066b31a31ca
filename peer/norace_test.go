//go:build !race

package peer

// fleetSizes are the numbers of daemons that are measured.
var fleetSizes = []int{4, 16, 64, 256}
