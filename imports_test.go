package sycamoreramp

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// decisions are the packages whose inputs and outputs are values of the root package
// and which encode no messages.
var decisions = []string{".", "replica", "retry", "plan", "order", "query", "fleet", "burn"}

// TestDecisionsEncodeNothing fails when a decision package imports an encoding, a
// transport, or a package for communication with a peer.
func TestDecisionsEncodeNothing(t *testing.T) {
	for _, dir := range decisions {
		for file, imports := range importsOf(t, dir) {
			for _, path := range imports {
				if isEncoding(path) {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	}
}

// TestEncodingIsRecognised fails when isEncoding misses an encoding or a transport.
func TestEncodingIsRecognised(t *testing.T) {
	for _, path := range []string{
		"encoding/json", "encoding/binary", "net/http", "storj.io/drpc/drpcconn", "github.com/BurntSushi/toml",
		"google.golang.org/protobuf/proto", "sycamoreramp.example/sycamoreramp/platform",
		"sycamoreramp.example/sycamoreramp/peer/wire",
	} {
		if !isEncoding(path) {
			t.Errorf("%s is not recognised", path)
		}
	}
}

func isEncoding(path string) bool {
	if own, ok := strings.CutPrefix(path, "sycamoreramp.example/sycamoreramp/"); ok {
		return !slices.Contains(decisions, own)
	}
	for _, prefix := range []string{"encoding", "net", "storj.io", "github.com/BurntSushi", "google.golang.org"} {
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return true
		}
	}
	return false
}

// importsOf returns the imports of the package's files by file, excluding tests.
func importsOf(t *testing.T, dir string) map[string][]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	imports := make(map[string][]string)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, text, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			imports[file] = append(imports[file], strings.Trim(spec.Path.Value, `"`))
		}
	}
	return imports
}

// TestAgesDoNotFollowTheTimeOfDay fails when a decision package reads the wall
// clock, which may jump. Package burn may: it counts per minute of the wall clock,
// so that the counts of several daemons can be added.
func TestAgesDoNotFollowTheTimeOfDay(t *testing.T) {
	for _, dir := range []string{".", "replica", "retry", "plan", "order", "query", "fleet"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(file, "_test.go") && strings.Contains(string(text), ".Unix") {
				t.Errorf("%s reads the wall clock", file)
			}
		}
	}
}

// platformNames are names of fields and calls in the platform's protocol.
var platformNames = []string{
	"X-Deadline-Ms", "X-Part-Stamps", "X-Missing-Parts", "X-Target-Instance", "X-Not-Executed", "X-Server-Stamp",
	"X-Request-Id", "pathPrefix", "trafficSplit", "minCoverage", "targetLatencyMs", "maxConnections", "topK",
	"kv-key", "kv-range", "kv-watch", "kv-txn", "kv-lease", "kv-keep", "warmupLeftMs", "expectedRevision",
	"bindAddrs", "graceS", "retryBudget", "ttl_max_s", "op/config", "X-Instance-Id",
	"X-Credential", "X-Tenant", "apiKeys", "ratePerS", "strictRevocation", "revokeMs",
	"X-Server-Load", "X-Warmup-Ms", "warmupPerS", "op/evacuate", "evacuateMs",
}

// TestPlatformNamesStayInside fails when a package other than platform contains a
// name of the platform's protocol. The stand-ins below internal implement the
// protocol and are exempt.
func TestPlatformNamesStayInside(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (path == "platform" || path == "internal" || path == "target" || path == ".git") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range platformNames {
			if strings.Contains(string(text), name) {
				t.Errorf("%s contains %s", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
