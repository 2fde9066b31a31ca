package sycamoreramp

import (
	"context"
)

// Backends sends attempts to backend servers.
type Backends interface {
	// Send sends the attempt to its replica once, and returns the complete reply,
	// validated against the attempt, or an [*AttemptError].
	Send(ctx context.Context, a Attempt) (Reply, error)
	// FetchInventory returns the shards that a backend server holds.
	FetchInventory(ctx context.Context, vm VM) (Inventory, error)
}
