package sycamoreramp

import (
	"context"
)

// Backends sends attempts to backend servers.
type Backends interface {
	// Send asks the attempt's replica and returns its reply, whole and checked
	// against the attempt, or an [*AttemptError]. It never sends twice.
	Send(ctx context.Context, a Attempt) (Reply, error)
	// FetchInventory asks a backend server what it holds.
	FetchInventory(ctx context.Context, vm VM) (Inventory, error)
}
