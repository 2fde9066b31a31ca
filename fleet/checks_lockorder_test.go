//go:build lockorder

package fleet

// leaveChecks is low here, since the check of the lock order makes each
// schedule about 100 times slower. The build without it runs all 1,000
// schedules.
const leaveChecks = "4"
