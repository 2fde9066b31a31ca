//go:build lockorder

package sycamoreramp

import (
	"bytes"
	"runtime"
	"slices"
	"sync"
)

// heldRanks maps a goroutine's id to the ranks of the locks it holds, a []Rank
// in ascending order.
var heldRanks sync.Map

// checkLock records that the goroutine takes a lock of the rank, and returns the
// goroutine's id. It panics when the lock order is violated.
func checkLock(rank Rank) string {
	id := goroutineID()
	held, _ := heldRanks.Load(id)
	ranks, _ := held.([]Rank)
	if n := len(ranks); n > 0 && ranks[n-1] >= rank {
		panic(&LockOrderError{Held: ranks[n-1], Want: rank})
	}
	heldRanks.Store(id, append(slices.Clone(ranks), rank))
	return id
}

// checkUnlock records that the goroutine with the id released a lock of the rank.
func checkUnlock(id string, rank Rank) {
	held, _ := heldRanks.Load(id)
	ranks, _ := held.([]Rank)
	i := slices.Index(ranks, rank)
	if i < 0 {
		return
	}
	if len(ranks) == 1 {
		heldRanks.Delete(id)
		return
	}
	heldRanks.Store(id, slices.Delete(slices.Clone(ranks), i, i+1))
}

// goroutineID returns the number that the runtime prints for the goroutine.
func goroutineID() string {
	var stack [64]byte
	n := runtime.Stack(stack[:], false)
	fields := bytes.Fields(stack[:n])
	return string(fields[1])
}
