package soak

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"
)

// run is a request at a replica that began to work on it.
type run struct {
	service string
	stamp   string
	status  int
	at      time.Time
}

// ledger keeps what replicas ran, and the violations that were found.
type ledger struct {
	mutex      sync.Mutex
	runs       map[string][]run // by request
	violations []string
	seen       map[string]int // checks made, by name
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}, seen: map[string]int{}} }

// begin notes that a replica works on a request.
func (l *ledger) begin(id string, r run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// of returns the runs of a request.
func (l *ledger) of(id string) []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.runs[id])
}

// check counts a check and notes a violation when it does not hold.
func (l *ledger) check(name string, holds bool, format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seen[name]++
	if !holds {
		l.violations = append(l.violations, name+": "+fmt.Sprintf(format, args...))
	}
}

// recordsOf returns the part of a service for a request. All replicas of a
// service answer alike.
func recordsOf(id, service string) []byte {
	var records []byte
	for i := range 4 {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", id, service, i))
		records = append(records, sum[:16]...)
	}
	return append(records, "tail"...)
}

// greatestOf returns the topRecords greatest records of the services' parts.
func greatestOf(id string, services []string) []byte {
	var all [][]byte
	for _, s := range services {
		part := recordsOf(id, s)
		for len(part) >= 16 {
			all = append(all, part[:16])
			part = part[16:]
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(topRecords, len(all))], nil)
}
