package replica

import (
	"cmp"
	"slices"

	ramp "sycamoreramp.example/sycamoreramp"
)

// shardKey tells shards of one version apart. Backend servers that disagree
// on the range of a shard hold different shards.
type shardKey struct {
	id    string
	owned ramp.KeyRange
}

// versions returns the index versions that any of the holdings has, newest first.
func versions(holdings []ramp.Inventory) []uint64 {
	var all []uint64
	for _, h := range holdings {
		for _, s := range h.Shards {
			if !slices.Contains(all, s.Version) {
				all = append(all, s.Version)
			}
		}
	}
	slices.SortFunc(all, func(a, b uint64) int { return cmp.Compare(b, a) })
	return all
}

// candidates returns the shards of a version with their replicas, sorted by
// the end of their range. They overlap while the version is repartitioned.
func candidates(version uint64, holdings []ramp.Inventory) []ramp.Shard {
	replicas := make(map[shardKey][]ramp.Replica)
	for _, h := range holdings {
		for _, s := range h.Shards {
			if s.Version == version && s.Range.Size() > 0 {
				key := shardKey{id: s.ID, owned: s.Range}
				replicas[key] = append(replicas[key], h.Replica)
			}
		}
	}
	shards := make([]ramp.Shard, 0, len(replicas))
	for k, r := range replicas {
		shards = append(shards, ramp.Shard{ID: k.id, Range: k.owned, Replicas: r})
	}
	slices.SortFunc(shards, func(a, b ramp.Shard) int {
		return cmp.Or(
			cmp.Compare(a.Range.High, b.Range.High), cmp.Compare(a.Range.Low, b.Range.Low), cmp.Compare(a.ID, b.ID),
		)
	})
	return shards
}

// weight orders sets of shards: the larger key range first, then the set with
// more replicas for each shard.
type weight struct {
	size     uint64 // hashes covered
	replicas int    // summed over the shards
}

func (w weight) With(s ramp.Shard) weight {
	return weight{size: w.size + s.Range.Size(), replicas: w.replicas + len(s.Replicas)}
}

func (w weight) Above(other weight) bool {
	return cmp.Or(cmp.Compare(w.size, other.size), cmp.Compare(w.replicas, other.replicas)) > 0
}

// tile returns disjoint shards that cover as much as possible, sorted by
// range. The shards must be sorted by the end of their range.
func tile(shards []ramp.Shard) []ramp.Shard {
	best := make([]weight, len(shards)+1) // best set among the first i shards
	taken := make([]bool, len(shards))    // the best set of the first i+1 shards has shard i
	before := make([]int, len(shards))    // number of shards that end where shard i begins, or earlier
	for i, s := range shards {
		before[i], _ = slices.BinarySearchFunc(shards, s.Range.Low, func(e ramp.Shard, low uint64) int {
			if e.Range.High <= low {
				return -1
			}
			return 1
		})
		best[i+1] = best[i]
		if with := best[before[i]].With(s); with.Above(best[i]) {
			best[i+1] = with
			taken[i] = true
		}
	}
	var tiles []ramp.Shard
	for i := len(shards); i > 0; {
		if !taken[i-1] {
			i--
			continue
		}
		tiles = append(tiles, shards[i-1])
		i = before[i-1]
	}
	slices.Reverse(tiles)
	return tiles
}

// sizeOf returns the number of hashes of disjoint shards.
func sizeOf(shards []ramp.Shard) uint64 {
	var size uint64
	for _, s := range shards {
		size += s.Range.Size()
	}
	return size
}
