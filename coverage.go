package sycamoreramp

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// KeySpace is the whole key space of a service. Every shard owns a part of it.
var KeySpace = KeyRange{Low: 0, High: 1 << 32}

// KeyRange is a half-open range of hashed keys.
type KeyRange struct {
	Low  uint64 // first hash in the range; at most High
	High uint64 // first hash past the range; at most 1<<32
}

// HashKey returns the position of a record's key in [KeySpace].
func HashKey(key string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash.Hash never fails to write
	return uint64(h.Sum32())
}

// Size returns the number of hashes in the range.
func (k KeyRange) Size() uint64 {
	if k.High <= k.Low {
		return 0
	}
	return k.High - k.Low
}

// Contains reports whether hash lies in the range.
func (k KeyRange) Contains(hash uint64) bool {
	return k.Low <= hash && hash < k.High
}

// Overlaps reports whether the two ranges share a hash.
func (k KeyRange) Overlaps(other KeyRange) bool {
	return k.Low < other.High && other.Low < k.High
}

// Coverage is the set of key ranges whose data an answer contains. The zero value
// is the empty set.
type Coverage struct {
	ranges []KeyRange // sorted, disjoint, not adjacent, none empty; never modified
}

// NewCoverage returns the coverage of the given ranges. It reports false when
// a range is empty or two of them overlap.
func NewCoverage(ranges ...KeyRange) (Coverage, bool) {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, compareRanges)
	merged := make([]KeyRange, 0, len(sorted))
	for _, r := range sorted {
		if r.Size() == 0 {
			return Coverage{}, false
		}
		last := len(merged) - 1
		switch {
		case last >= 0 && merged[last].Overlaps(r):
			return Coverage{}, false
		case last >= 0 && merged[last].High == r.Low:
			merged[last].High = r.High
		default:
			merged = append(merged, r)
		}
	}
	return Coverage{ranges: merged}, true
}

// With returns the coverage extended by r. It returns the receiver and false when
// r is empty or overlaps a covered range.
func (c Coverage) With(r KeyRange) (Coverage, bool) {
	extended, ok := NewCoverage(append(slices.Clone(c.ranges), r)...)
	if !ok {
		return c, false
	}
	return extended, true
}

// Ranges returns the covered ranges in ascending order.
func (c Coverage) Ranges() []KeyRange { return slices.Clone(c.ranges) }

// Size returns the number of hashes covered.
func (c Coverage) Size() uint64 {
	var size uint64
	for _, r := range c.ranges {
		size += r.Size()
	}
	return size
}

// Covers reports whether all of r is covered.
func (c Coverage) Covers(r KeyRange) bool {
	return len(c.Missing(r)) == 0
}

// Missing returns the parts of whole that are not covered, in ascending order.
func (c Coverage) Missing(whole KeyRange) []KeyRange {
	var missing []KeyRange
	low := whole.Low
	for _, r := range c.ranges {
		if r.High <= low {
			continue
		}
		if r.Low >= whole.High {
			break
		}
		if low < r.Low {
			missing = append(missing, KeyRange{Low: low, High: r.Low})
		}
		low = r.High
	}
	if low < whole.High {
		missing = append(missing, KeyRange{Low: low, High: whole.High})
	}
	return missing
}

// Ratio returns the covered share of whole, from 0 to 1.
func (c Coverage) Ratio(whole KeyRange) float64 {
	if whole.Size() == 0 {
		return 1
	}
	var missing uint64
	for _, r := range c.Missing(whole) {
		missing += r.Size()
	}
	return 1 - float64(missing)/float64(whole.Size())
}

func compareRanges(a, b KeyRange) int { return cmp.Compare(a.Low, b.Low) }
