//go:build lockorder

package sycamoreramp

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestLockOrder takes pairs of locks and records which pairs are refused. A plain
// sync.Mutex accepts every pair.
func TestLockOrder(t *testing.T) {
	pairs := [][2]Rank{
		{RankLists, RankDaemons},
		{RankOrders, RankQueries},
		{RankQueries, RankReplicas},
		{RankReplicas, RankQueries},
		{RankQueries, RankQueries},
		{RankReports, RankLists},
	}
	var b strings.Builder
	for _, pair := range pairs {
		fmt.Fprintf(&b, "%d then %d: %s\n", pair[0], pair[1], lockBoth(pair))
	}
	golden.Check(t, "lockorder", b.String())
}

func lockBoth(pair [2]Rank) (verdict string) {
	first := NewMutex(pair[0])
	first.Lock()
	defer first.Unlock()
	defer func() {
		err, _ := recover().(error)
		var broken *LockOrderError
		if errors.As(err, &broken) {
			verdict = broken.Error()
		}
	}()
	second := NewMutex(pair[1])
	second.Lock()
	defer second.Unlock()
	return "allowed"
}
