//go:build !lockorder

package fleet

// leaveChecks times parallelSchedules is the number of schedules.
const leaveChecks = "125"
