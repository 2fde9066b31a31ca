package replica

import (
	"cmp"
	"slices"

	ramp "sycamoreramp.example/sycamoreramp"
)

// shardKey identifies a shard within one version. Backend servers that report different
// ranges for a shard id hold different shards.
type shardKey struct {
	id       string
	keyRange ramp.KeyRange
}

// versions returns the index versions in the inventories, newest first.
func versions(inventories []ramp.Inventory) []uint64 {
	var all []uint64
	for _, h := range inventories {
		for _, s := range h.Shards {
			if !slices.Contains(all, s.Version) {
				all = append(all, s.Version)
			}
		}
	}
	slices.SortFunc(all, func(a, b uint64) int { return cmp.Compare(b, a) })
	return all
}

// candidateShards returns the shards of a version with their replicas, sorted by the
// end of their range. Ranges overlap while the version is repartitioned.
func candidateShards(version uint64, inventories []ramp.Inventory) []ramp.Shard {
	replicas := make(map[shardKey][]ramp.Replica)
	for _, h := range inventories {
		for _, s := range h.Shards {
			if s.Version == version && s.Range.Size() > 0 {
				key := shardKey{id: s.ID, keyRange: s.Range}
				replicas[key] = append(replicas[key], h.Replica)
			}
		}
	}
	shards := make([]ramp.Shard, 0, len(replicas))
	for k, r := range replicas {
		shards = append(shards, ramp.Shard{ID: k.id, Range: k.keyRange, Replicas: r})
	}
	slices.SortFunc(shards, func(a, b ramp.Shard) int {
		return cmp.Or(
			cmp.Compare(a.Range.High, b.Range.High), cmp.Compare(a.Range.Low, b.Range.Low), cmp.Compare(a.ID, b.ID),
		)
	})
	return shards
}

// weight ranks sets of shards: by key range covered, then by number of replicas.
type weight struct {
	hashes   uint64 // key hashes covered
	replicas int    // sum over the shards
}

// With returns the weight of the set with one more shard.
func (w weight) With(s ramp.Shard) weight {
	return weight{hashes: w.hashes + s.Range.Size(), replicas: w.replicas + len(s.Replicas)}
}

// Greater reports whether w ranks above other.
func (w weight) Greater(other weight) bool {
	return cmp.Or(cmp.Compare(w.hashes, other.hashes), cmp.Compare(w.replicas, other.replicas)) > 0
}

// maxCoverage returns the disjoint shards that cover most of the key space, sorted by
// range. It is weighted interval scheduling by dynamic programming; the shards must be
// sorted by the end of their range.
func maxCoverage(shards []ramp.Shard) []ramp.Shard {
	best := make([]weight, len(shards)+1)    // best[i]: weight of the best set of the first i shards
	selected := make([]bool, len(shards))    // selected[i]: shard i is in the best set of the first i+1
	predecessors := make([]int, len(shards)) // predecessors[i]: number of shards ending at or before the start of shard i
	for i, s := range shards {
		predecessors[i], _ = slices.BinarySearchFunc(shards, s.Range.Low, func(e ramp.Shard, low uint64) int {
			if e.Range.High <= low {
				return -1
			}
			return 1
		})
		best[i+1] = best[i]
		if extended := best[predecessors[i]].With(s); extended.Greater(best[i]) {
			best[i+1] = extended
			selected[i] = true
		}
	}
	var disjoint []ramp.Shard
	for i := len(shards); i > 0; {
		if !selected[i-1] {
			i--
			continue
		}
		disjoint = append(disjoint, shards[i-1])
		i = predecessors[i-1]
	}
	slices.Reverse(disjoint)
	return disjoint
}

// hashCount returns the number of key hashes in disjoint shards.
func hashCount(shards []ramp.Shard) uint64 {
	var size uint64
	for _, s := range shards {
		size += s.Range.Size()
	}
	return size
}
