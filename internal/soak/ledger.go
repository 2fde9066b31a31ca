package soak

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"
)

// run is the execution of a request that a replica has started.
type run struct {
	service string
	stamp   string
	status  int
	at      time.Time
}

// ledger records the executions at replicas and the violations found.
type ledger struct {
	mutex      sync.Mutex
	runs       map[string][]run // by request ID
	violations []string
	seen       map[string]int // checks made, by name
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}, seen: map[string]int{}} }

// begin records that a replica has started to execute a request.
func (l *ledger) begin(id string, r run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// runsOf returns the runs runsOf a request.
func (l *ledger) runsOf(id string) []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.runs[id])
}

// check counts a check and records a violation if it does not hold.
func (l *ledger) check(name string, holds bool, format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seen[name]++
	if !holds {
		l.violations = append(l.violations, name+": "+fmt.Sprintf(format, args...))
	}
}

// recordsOf returns the records with which a service answers a request. All replicas
// of a service return the same records.
func recordsOf(id, service string) []byte {
	var records []byte
	for i := range 4 {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", id, service, i))
		records = append(records, sum[:16]...)
	}
	return append(records, "tail"...)
}

// greatestOf returns the topRecords greatest records among the services' responses.
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
