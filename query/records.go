package query

import (
	"bytes"
	"slices"
)

// recordSize is the number of bytes of a record in a part. It is fixed by the
// protocol of the replicas of gathered routes.
const recordSize = 16

// topRecords returns the count greatest records of all parts, greatest first.
// Equal records are all kept; bytes after the last complete record of a part
// are ignored.
func topRecords(parts [][]byte, count int) []byte {
	var records [][]byte
	for _, p := range parts {
		for len(p) >= recordSize {
			records = append(records, p[:recordSize])
			p = p[recordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(count, len(records))], nil)
}
