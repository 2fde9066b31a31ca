package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Secret is the value of a setting that must never be printed or logged. Formatting,
// logging and text encoding give a placeholder; only Reveal returns the value.
type Secret string

// redacted is the placeholder for a secret in all output.
const redacted = "redacted"

// String implements [fmt.Stringer].
func (Secret) String() string { return redacted }

// GoString implements [fmt.GoStringer].
func (Secret) GoString() string { return redacted }

// LogValue implements [slog.LogValuer].
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText implements [encoding.TextMarshaler].
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Reveal returns the value of the secret.
func (s Secret) Reveal() string { return string(s) }

// FieldError reports a setting that is missing, unknown, malformed or out of bounds.
type FieldError struct {
	File  string // name of the file
	Line  int    // line in the file, from 1; 0 if unknown or the setting is missing
	Field string // name of the setting
	Want  string // what is allowed
	Got   string // what the file has instead; empty for the value of a secret
}

// Error implements error.
func (e *FieldError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	text := fmt.Sprintf("%s: setting %s: want %s", place, e.Field, e.Want)
	if e.Got != "" {
		text += ", got " + e.Got
	}
	return text
}

// field describes one setting of a file. The tables of fields are the only place that
// defines names, defaults, bounds and descriptions.
type field struct {
	name         string
	description  string               // what the setting does, as a phrase
	want         string               // the allowed values
	defaultValue string               // default as a TOML value; empty if there is none
	example      string               // TOML value in the example file; empty for the default
	optional     bool                 // the setting may be left out although it has no default
	secret       bool                 // the value must never be shown
	set          func(value any) bool // stores a decoded TOML value; false if it is not allowed
}

// withDescription returns the field with a description and a TOML value for the
// example file.
func (f field) withDescription(description, example string) field {
	f.description = description
	f.example = example
	return f
}

// withOptional returns the field marked as optional.
func (f field) withOptional() field {
	f.optional = true
	return f
}

// identifier returns a field for a name that can be used as part of an id.
func identifier(name string, into *string) field {
	return field{name: name, want: "1 to 63 letters, digits and hyphens", set: func(value any) bool {
		s, ok := value.(string)
		*into = s
		return ok && s != "" && len(s) <= 63 && strings.IndexFunc(s, notIdentifierRune) < 0
	}}
}

// notIdentifierRune reports whether r must not occur in an identifier.
func notIdentifierRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-':
		return false
	}
	return true
}

// secret returns a field for a credential.
func secret(name string, into *Secret) field {
	f := field{name: name, secret: true, want: "8 to 256 characters", set: func(value any) bool {
		s, ok := value.(string)
		*into = Secret(s)
		return ok && len(s) >= 8 && len(s) <= 256
	}}
	return f
}

// choice returns a field for one of the given words.
func choice(name string, into *string, defaultValue string, choices ...string) field {
	*into = defaultValue
	f := field{name: name, want: "one of " + strings.Join(choices, ", "), defaultValue: fmt.Sprintf("%q", defaultValue)}
	f.set = func(value any) bool {
		s, ok := value.(string)
		*into = s
		for _, w := range choices {
			if ok && s == w {
				return true
			}
		}
		return false
	}
	return f
}

// address returns a field for an IP number and a port.
func address(name string, into *string) field {
	return field{name: name, want: "an IP number and a port", set: func(value any) bool {
		s, ok := value.(string)
		*into = s
		return ok && isAddress(s)
	}}
}

// addresses returns a field for a non-empty list of IP numbers with ports.
func addresses(name string, into *[]string) field {
	return field{name: name, want: "a list of IP numbers with ports", set: func(value any) bool {
		list, ok := value.([]any)
		*into = nil
		for _, v := range list {
			s, isString := v.(string)
			ok = ok && isString && isAddress(s)
			*into = append(*into, s)
		}
		return ok && len(list) > 0
	}}
}

// isAddress reports whether s is an IP number with a port other than 0.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// number returns a field for a whole number from low to high.
func number(name string, into *int, defaultValue, low, high int) field {
	*into = defaultValue
	f := field{name: name, want: fmt.Sprintf("a whole number from %d to %d", low, high)}
	f.defaultValue = strconv.Itoa(defaultValue)
	f.set = func(value any) bool {
		n, ok := value.(int64)
		*into = int(n)
		return ok && n >= int64(low) && n <= int64(high)
	}
	return f
}

// duration returns a field for a Go duration from low to high.
func duration(name string, into *time.Duration, defaultValue, low, high time.Duration) field {
	*into = defaultValue
	f := field{name: name, want: fmt.Sprintf("a duration such as %q, from %s to %s", defaultValue, low, high)}
	f.defaultValue = fmt.Sprintf("%q", defaultValue)
	f.set = func(value any) bool {
		s, ok := value.(string)
		d, err := time.ParseDuration(s)
		*into = d
		return ok && err == nil && d >= low && d <= high
	}
	return f
}
