// Package golden compares the output of tests with files under testdata.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing")

// Updating reports whether golden files are written instead of compared.
func Updating() bool { return *update }

// Check fails the test if got differs from testdata/name.golden of the package
// under test. With -update it writes the file instead.
func Check(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name+".golden")
	if *update {
		writeFile(t, file, got)
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("golden file: %v; run the test with -update to write it", err)
	}
	if string(want) != got {
		t.Errorf("%s differs\n--- want\n%s\n--- got\n%s", file, want, got)
	}
}

func writeFile(t *testing.T, file, got string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
		t.Fatal(err)
	}
}
