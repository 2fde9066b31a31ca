package query

import (
	"bytes"
	"slices"
)

// recordSize is the number of bytes of one record in a part. The replicas of
// gathered routes define it.
const recordSize = 16

// greatest returns the greatest records of the parts, greatest first. Equal
// records all count; what is left of a part after its last whole record does not.
func greatest(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, p := range parts {
		for len(p) >= recordSize {
			records = append(records, p[:recordSize])
			p = p[recordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(top, len(records))], nil)
}
