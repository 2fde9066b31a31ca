// Package settings reads the settings of the daemon and of the command-line tool from
// TOML files. One table for each program defines the names, defaults, bounds and
// descriptions. The documentation and the example files are generated from these
// tables.
package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Daemon holds the settings of a daemon.
type Daemon struct {
	Name               string        // unique among the daemons
	Domain             string        // failure domain
	CallerAddress      string        // IP number and port that it listens on for callers and operators
	PeerAddress        string        // IP number and port that it listens on for other daemons
	PlatformAddress    string        // IP number and port of the platform
	Seeds              []string      // peer addresses of daemons to contact when the platform does not answer
	PeerCredential     Secret        // credential between daemons
	OperatorCredential Secret        // credential of the operators
	Workers            int           // number of workers in the pool
	Queue              int           // tasks that may wait for a worker
	Capacity           int           // sub-requests that may be admitted at the same time
	Floor              int           // lowest adaptive limit for one service, in sub-requests
	Connections        int           // connections that a backend server allows all daemons together
	Slots              int           // connection slots: daemons that may share Connections; the same on every daemon
	TracedAttempts     int           // attempts kept in memory to explain how requests were answered
	Grace              time.Duration // longest wait for requests in flight at shutdown
	Level              string        // lowest log level that is written
}

// Tool holds the settings of the command-line tool. All of them are optional.
type Tool struct {
	PlatformAddress    string        // IP number and port of the platform
	OperatorCredential Secret        // credential of the operators
	Daemons            []string      // IP numbers and ports of daemons for callers; requests go to the first
	Key                Secret        // the customer's key
	Timeout            time.Duration // time limit of a whole command
}

// fields returns the table of the daemon's settings, which set the fields of d. It
// sets the defaults.
func (d *Daemon) fields() []field {
	return []field{
		identifier("name", &d.Name).withDescription("name of the daemon, unique in the fleet", `"d1"`),
		identifier("domain", &d.Domain).withDescription("failure domain that the daemon runs in", `"d0"`),
		address("caller", &d.CallerAddress).withDescription(
			"address to listen on for callers and operators", `"127.0.2.1:8100"`),
		address("peer", &d.PeerAddress).withDescription("address to listen on for other daemons", `"127.0.2.1:8200"`),
		address("platform", &d.PlatformAddress).withDescription("address of the platform", `"127.0.1.1:7100"`),
		addresses("seeds", &d.Seeds).withOptional().
			withDescription("other daemons, contacted while no other daemon is known", `["127.0.2.2:8200", "127.0.2.3:8200"]`),
		secret("secret", &d.PeerCredential).withDescription("credential between daemons", `"daemon-secret"`),
		secret("operator", &d.OperatorCredential).withDescription("credential of the operators", `"operator-secret"`),
		number("workers", &d.Workers, 512, 1, 65536).withDescription("attempts in progress at once", ""),
		number("queue", &d.Queue, 8192, 1, 1<<20).withDescription("attempts that may wait for a worker", ""),
		number("room", &d.Capacity, 4096, 1, 1<<20).withDescription("sub-requests admitted at once", ""),
		number("floor", &d.Floor, 16, 1, 1<<20).
			withDescription("lowest adaptive limit for one service, in sub-requests", ""),
		number("connections", &d.Connections, 25, 1, 1024).
			withDescription("connections that a backend server allows all daemons together", ""),
		number("seats", &d.Slots, 6, 1, 1024).
			withDescription("daemons that may share the connections of a backend server; the same on every daemon", ""),
		number("accounts", &d.TracedAttempts, 32768, 0, 1<<20).
			withDescription("attempts kept in memory to explain how requests were answered", ""),
		duration("grace", &d.Grace, 30*time.Second, time.Second, 10*time.Minute).
			withDescription("longest wait for requests in progress at shutdown", ""),
		choice("level", &d.Level, "info", "debug", "info", "warn", "error").
			withDescription("lowest level that is logged", ""),
	}
}

// fields returns the table of the tool's settings, which set the fields of t. It sets
// the defaults.
func (t *Tool) fields() []field {
	return []field{
		address("platform", &t.PlatformAddress).withOptional().withDescription("address of the platform", `"127.0.1.1:7100"`),
		secret("operator", &t.OperatorCredential).withOptional().withDescription(
			"credential of the operators", `"operator-secret"`),
		addresses("daemons", &t.Daemons).withOptional().
			withDescription("daemons; requests go to the first", `["127.0.2.1:8100", "127.0.2.2:8100"]`),
		secret("key", &t.Key).withOptional().withDescription("the customer's key", `"restorer-key"`),
		duration("timeout", &t.Timeout, 15*time.Second, 10*time.Millisecond, time.Hour).
			withDescription("bound on a whole command", ""),
	}
}

// Load reads a daemon's settings from the file. It returns a [*FieldError] for each
// setting that is missing, unknown, malformed or out of bounds, in the order of the
// file with the missing ones last, joined by [errors.Join].
func Load(file string) (Daemon, error) {
	var d Daemon
	if err := load(file, d.fields()); err != nil {
		return d, err
	}
	return d, d.checkConsistency(file)
}

// checkConsistency returns a [*FieldError] when there are more slots than connections.
func (d Daemon) checkConsistency(file string) error {
	if d.Slots <= d.Connections {
		return nil
	}
	return &FieldError{
		File: file, Field: "seats", Want: fmt.Sprintf("at most the value of connections, %d", d.Connections),
		Got: strconv.Itoa(d.Slots),
	}
}

// LoadTool reads the tool's settings from the file. It returns the same errors as
// [Load].
func LoadTool(file string) (Tool, error) {
	var t Tool
	err := load(file, t.fields())
	return t, err
}

// load reads the file and sets the fields from its content.
func load(file string, fields []field) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return parse(file, string(content), fields)
}

// parse sets the fields from the content of a file. Its errors are those of [Load].
func parse(file, content string, fields []field) error {
	var values map[string]toml.Primitive
	meta, err := toml.Decode(content, &values)
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return &FieldError{
			File: file, Line: syntax.Position.Line, Field: syntax.LastKey, Want: "valid TOML", Got: syntax.Message,
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var failures []error
	seen := make(map[string]bool)
	for _, key := range meta.Keys() {
		if seen[key[0]] {
			continue // another key of a table that was already rejected as a whole
		}
		seen[key[0]] = true
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == key[0] })
		d := fieldDecoder{failure: FieldError{File: file, Field: key[0], Want: "one of " + names(fields)}}
		if i >= 0 {
			d.field = fields[i]
			d.failure.Want = d.field.want
		}
		if err := meta.PrimitiveDecode(values[key[0]], &d); errors.As(err, &syntax) {
			d.failure.Line = syntax.Position.Line
			failures = append(failures, &d.failure)
		}
	}
	for _, f := range fields {
		if _, given := values[f.name]; !given && !f.optional && f.defaultValue == "" {
			failures = append(failures, &FieldError{File: file, Field: f.name, Want: f.want, Got: "nothing"})
		}
	}
	return errors.Join(failures...)
}

// fieldDecoder sets one field from a decoded value. The TOML decoder adds the line to
// the error that UnmarshalTOML returns.
type fieldDecoder struct {
	field   field      // the zero value for an unknown name
	failure FieldError // returned when the value is rejected
}

// UnmarshalTOML implements [toml.Unmarshaler].
func (r *fieldDecoder) UnmarshalTOML(value any) error {
	if r.field.set != nil && r.field.set(value) {
		return nil
	}
	_, isTable := value.(map[string]any)
	switch {
	case isTable:
		r.failure.Got = "a table"
	case r.field.set != nil && !r.field.secret:
		r.failure.Got = fmt.Sprintf("%#v", value)
	}
	return &r.failure
}

// names returns the names of the fields, separated by commas.
func names(fields []field) string {
	all := make([]string, 0, len(fields))
	for _, f := range fields {
		all = append(all, f.name)
	}
	return strings.Join(all, ", ")
}
