package sycamoreramp

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Sizes of the buffers that hold bodies, in bytes.
const (
	firstBuffer = 4 << 10  // of a body whose length is unknown
	largeBuffer = 64 << 10 // from which a buffer must leave room for smaller ones
)

// largeShare is the share of the memory that large buffers may fill. The rest is for small
// ones, so that senders of bytes without end leave room for ordinary bodies.
const largeShare = 0.75

// Memory bounds the bytes of the bodies that a daemon holds at the same time, whoever sent
// them.
type Memory struct {
	limit int64        // in bytes
	inUse atomic.Int64 // from 0 to limit
}

// NewMemory returns a bound of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// MemoryError reports that a body did not fit in the memory for bodies.
type MemoryError struct {
	Limit int64 // of all bodies, in bytes
}

// Error implements error.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("no memory for another body: limit=%d", e.Limit)
}

// SizeError reports a body that is longer than allowed.
type SizeError struct {
	Limit int64 // in bytes
}

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("body exceeds the limit: limit=%d", e.Limit) }

// InUse returns the number of bytes in use.
func (m *Memory) InUse() int64 { return m.inUse.Load() }

// claim counts a buffer as in use. It reports false, and counts nothing, when it does not
// fit.
func (m *Memory) claim(size int64) bool {
	limit := m.limit
	if size > largeBuffer {
		limit = int64(largeShare * float64(limit))
	}
	for {
		inUse := m.inUse.Load()
		if inUse+size > limit {
			return false
		}
		if m.inUse.CompareAndSwap(inUse, inUse+size) {
			return true
		}
	}
}

func (m *Memory) release(size int64) { m.inUse.Add(-size) }

// ReadAll reads a body of at most limit bytes to its end. Length is its stated length,
// negative if unknown. Its buffer stays claimed until the holding is released. ReadAll
// returns a [*MemoryError], a [*SizeError] or the error of the reader, and then holds
// nothing.
func (m *Memory) ReadAll(r io.Reader, length, limit int64, held *Holding) ([]byte, error) {
	if length > limit {
		return nil, &SizeError{Limit: limit}
	}
	size := int64(firstBuffer)
	if length >= 0 && length < size {
		size = length + 1 // the reader reports the end with the last read
	}
	if !m.claim(size) {
		return nil, &MemoryError{Limit: m.limit}
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			grown, err := m.grow(data, length, limit)
			if err != nil {
				m.release(int64(cap(data)))
				return nil, err
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			err = &SizeError{Limit: limit}
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			held.adopt(m, int64(cap(data)))
			return data, nil
		}
		m.release(int64(cap(data)))
		return nil, err
	}
}

// grow returns the full buffer's content in one of twice the size, or of what the body
// can still need if that is less. Both are claimed while the content is copied.
func (m *Memory) grow(data []byte, length, limit int64) ([]byte, error) {
	size := min(2*int64(cap(data)), limit+1)
	if length >= int64(cap(data)) {
		size = min(size, length+1)
	}
	if !m.claim(size) {
		return nil, &MemoryError{Limit: m.limit}
	}
	grown := append(make([]byte, 0, size), data...)
	m.release(int64(cap(data)))
	return grown, nil
}

// Hold returns a holding without bytes, nil for a nil memory.
func (m *Memory) Hold() *Holding {
	if m == nil {
		return nil
	}
	return &Holding{memory: m}
}

// Holding counts the bytes that are held for one message, from when they are read until
// its answer has been sent. A nil holding holds nothing.
type Holding struct {
	memory *Memory

	mutex    sync.Mutex // guards the fields below; held briefly and never together with another lock
	bytes    int64      // claimed; 0 once released
	released bool
}

// adopt takes over claimed bytes. They are released at once when the holding is nil or
// released already, as for a reply that comes after the answer.
func (h *Holding) adopt(m *Memory, size int64) {
	if h != nil {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		if !h.released {
			h.bytes += size
			return
		}
	}
	m.release(size)
}

// Release ends the holding. It may be called more than once.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.memory.release(h.bytes)
	h.bytes, h.released = 0, true
}
