package sycamoreramp_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestMemory records which bodies fit in a memory of 1 MiB while others are held, and what is in
// use afterwards.
func TestMemory(t *testing.T) {
	const kilobyte = 1 << 10
	errBroken := errors.New("the connection was reset")
	var b strings.Builder
	memory := ramp.NewMemory(1 << 20)
	first, second := memory.Hold(), memory.Hold()
	for _, step := range []struct {
		name      string
		size      int
		hasLength bool
		reader    io.Reader // that follows the body
		held      *ramp.Holding
	}{
		{"nothing", 0, true, nil, first},
		{"small body with a length", kilobyte, true, nil, first},
		{"small body without a length", kilobyte, false, nil, first},
		{"large body with a length", 200 * kilobyte, true, nil, first},
		{"body that breaks off", 100 * kilobyte, false, errReader{errBroken}, first},
		{"body that is too long", 300 * kilobyte, false, nil, first},
		{"body whose length is too long", 300 * kilobyte, true, nil, first},
		{"large body of another message", 250 * kilobyte, true, nil, second},
		{"large body that leaves no room for small ones", 250 * kilobyte, false, nil, second},
		{"small body meanwhile", 10 * kilobyte, false, nil, second},
		{"body that nobody holds", 10 * kilobyte, false, nil, nil},
	} {
		length := int64(-1)
		if step.hasLength {
			length = int64(step.size)
		}
		var reader io.Reader = strings.NewReader(strings.Repeat("x", step.size))
		if step.reader != nil {
			reader = io.MultiReader(reader, step.reader)
		}
		data, err := memory.ReadAll(reader, length, 256*kilobyte, step.held)
		fmt.Fprintf(&b, "%s: %d bytes, error=%v, in use=%d\n", step.name, len(data), err, memory.InUse())
	}
	first.Release()
	first.Release()
	fmt.Fprintf(&b, "first message answered: in use=%d\n", memory.InUse())
	_, err := memory.ReadAll(strings.NewReader("late"), 4, kilobyte, first)
	fmt.Fprintf(&b, "late reply: error=%v, in use=%d\n", err, memory.InUse())
	second.Release()
	fmt.Fprintf(&b, "second message answered: in use=%d\n", memory.InUse())
	golden.Check(t, "memory", b.String())
}

// errReader is a reader that fails.
type errReader struct{ err error }

// Read implements [io.Reader].
func (r errReader) Read([]byte) (int, error) { return 0, r.err }
