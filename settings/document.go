package settings

import (
	"fmt"
	"strings"
)

// ExampleDaemon returns an example of a daemon's settings file with every setting.
func ExampleDaemon() string { return example(new(Daemon).fields()) }

// ExampleTool returns an example of the tool's settings file with every setting.
func ExampleTool() string { return example(new(Tool).fields()) }

// DocumentDaemon returns a Markdown table of a daemon's settings.
func DocumentDaemon() string { return document(new(Daemon).fields()) }

// DocumentTool returns a Markdown table of the tool's settings.
func DocumentTool() string { return document(new(Tool).fields()) }

// example returns a TOML file with the fields, each below a comment that describes it.
func example(fields []field) string {
	var b strings.Builder
	for _, f := range fields {
		value := f.example
		if value == "" {
			value = f.defaultValue
		}
		fmt.Fprintf(&b, "# %s: %s; %s\n%s = %s\n", f.description, f.want, f.defaultText(), f.name, value)
	}
	return b.String()
}

// document returns a Markdown table with a row for each field.
func document(fields []field) string {
	var b strings.Builder
	b.WriteString("| setting | what it does | allowed | default |\n| --- | --- | --- | --- |\n")
	for _, f := range fields {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.name, f.description, f.want, f.defaultText())
	}
	return b.String()
}

// defaultText returns the default, or whether the setting is required if it has none.
func (f field) defaultText() string {
	switch {
	case f.defaultValue != "":
		return "default " + f.defaultValue
	case f.optional:
		return "may be left out"
	}
	return "required"
}
