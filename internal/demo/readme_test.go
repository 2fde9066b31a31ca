package demo

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// volatilePattern matches the parts of the output that differ between runs.
var volatilePattern = regexp.MustCompile(`127[\d.]+:\d+|[0-9a-f]{16}-\d+|\d+(\.\d+)?(ns|µs|ms|s)\b|\S+Z\b| {2,}|never`)

// TestReadme runs the commands that the README prints and compares their output.
// It replaces only the addresses, to avoid conflicts with other processes, and
// the directory.
func TestReadme(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../README.md")
	is.NoErr(err)
	_, block, _ := strings.Cut(string(page), "```sh\n")
	block, _, found := strings.Cut(block, "```")
	is.True(found)
	root, err := filepath.Abs("../..")
	is.NoErr(err)
	network := fmt.Sprintf("127.%d.", 80+os.Getpid()%40)
	block = strings.ReplaceAll(block, ".bin", t.TempDir())
	block = strings.ReplaceAll(block, "../internal", root+"/internal")
	block = strings.ReplaceAll(block, "127.0.", network)
	block = regexp.MustCompile(`(--example \w+) >`).ReplaceAllString(block, "$1 | sed 's/127[.]0[.]/"+network+"/g' >")
	command := exec.CommandContext(t.Context(), "timeout", "120", "bash", "-euo", "pipefail", "-c", block)
	command.Dir = root
	out, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	golden.Check(t, "readme", removeAttemptRows(volatilePattern.ReplaceAllString(string(out), "*")))
}

// attemptRowEnd matches the last column of an attempt in an account.
var attemptRowEnd = regexp.MustCompile(`(true|false)\n$`)

// removeAttemptRows removes the attempts of an account, whose order and number
// differ between runs.
func removeAttemptRows(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		if strings.Contains(line, "prisms-") && attemptRowEnd.MatchString(line) {
			continue
		}
		b.WriteString(line)
	}
	return b.String()
}
