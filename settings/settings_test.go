package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sycamoreramp.example/sycamoreramp/internal/golden"
)

// TestRefused checks the errors for the settings files in testdata/refused.txt. Each
// file follows a line "== name".
func TestRefused(t *testing.T) {
	is := is.New(t)
	cases, err := os.ReadFile("testdata/refused.txt")
	is.NoErr(err)
	var b strings.Builder
	for _, text := range strings.Split(string(cases), "== ")[1:] {
		name, content, _ := strings.Cut(text, "\n")
		var d Daemon
		err := parse("d1.toml", content, d.fields())
		if err == nil {
			err = d.checkConsistency("d1.toml")
		}
		var fieldErr *FieldError
		fmt.Fprintf(&b, "== %s typed=%t\n%v\n", name, errors.As(err, &fieldErr), err)
	}
	golden.Check(t, "refused", b.String())
}

// TestExamples checks that the example files load and have the default values, and
// that the operations page has the generated tables.
func TestExamples(t *testing.T) {
	is := is.New(t)
	golden.Check(t, "daemon.toml", ExampleDaemon())
	golden.Check(t, "tool.toml", ExampleTool())
	golden.Check(t, "settings.md", DocumentDaemon()+"\n"+DocumentTool())
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), DocumentDaemon())) // to fix: copy testdata/settings.md.golden to the page
	is.True(strings.Contains(string(page), DocumentTool()))
	d, err := Load(filepath.Join("testdata", "daemon.toml.golden"))
	is.NoErr(err)
	var defaults Daemon
	defaults.fields()
	is.Equal(d.Workers, defaults.Workers)
	is.Equal(d.Grace, defaults.Grace)
	is.Equal(d.PeerCredential.Reveal(), "daemon-secret")
	tool, err := LoadTool(filepath.Join("testdata", "tool.toml.golden"))
	is.NoErr(err)
	is.Equal(len(tool.Daemons), 2)
}

// TestSecretIsNotPrinted checks that neither logging nor formatting of settings
// reveals a secret.
func TestSecretIsNotPrinted(t *testing.T) {
	is := is.New(t)
	d := Daemon{PeerCredential: "daemon-secret", OperatorCredential: "operator-secret"}
	var b strings.Builder
	slog.New(slog.NewTextHandler(&b, nil)).Info("x", "settings", d, "secret", d.PeerCredential)
	fmt.Fprintf(&b, "%v %+v %#v %s", d, d, d, d.OperatorCredential)
	is.True(!strings.Contains(b.String(), "-secret"))
	is.True(strings.Contains(b.String(), redacted))
}
