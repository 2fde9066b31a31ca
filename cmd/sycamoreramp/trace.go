package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// maxLineBytes is the limit on the length of a log line, 1 MiB. The account of a
// request with 24 attempts takes about 2 kB; a longer line than the limit is an error.
const maxLineBytes = 1 << 20

// traceCommand prints the log lines of daemons that have the id of a request.
type traceCommand struct {
	ID   string   `arg:"positional,required" help:"id of the request"`
	Logs []string `arg:"positional" help:"log files of daemons; standard input if none is given"`
	JSON bool     `arg:"--json" help:"print JSON"`
}

// logLine is a log line about the request, in the JSON output.
type logLine struct {
	File       string            `json:"log"` // name of the file; "-" for standard input
	Time       string            `json:"time"`
	Message    string            `json:"what"`
	Attributes map[string]string `json:"keys"`
}

// run prints the log lines about the request, ordered by time. If there are none, it
// returns an exitError with exitFailed.
func (c *traceCommand) run(_ context.Context, t tool) error {
	var lines []logLine
	if len(c.Logs) == 0 {
		found, err := c.readLog("-", os.Stdin)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range c.Logs {
		found, err := c.readFile(name)
		if err != nil {
			return &exitError{Code: exitUsage, Cause: err}
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return &exitError{Code: exitFailed, Cause: fmt.Errorf("no log line has the request id %s", c.ID)}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	if c.JSON {
		return json.NewEncoder(t.out).Encode(lines)
	}
	for _, l := range lines {
		fmt.Fprintf(t.out, "%s %s: %s\n", l.Time, l.File, l.Message)
		for _, key := range slices.Sorted(maps.Keys(l.Attributes)) {
			fmt.Fprintf(t.out, "  %s %s\n", key, l.Attributes[key])
		}
	}
	return nil
}

// readFile returns the lines of a log file about the request.
func (c *traceCommand) readFile(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written, so no data can be lost
	return c.readLog(name, file)
}

// readLog returns the lines of a log about the request. Name is the log's name in the
// output. The attributes time, level, msg and request are left out of the others.
func (c *traceCommand) readLog(name string, r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		attributes := parseLine(scanner.Text())
		if attributes["request"] != c.ID {
			continue
		}
		line := logLine{File: name, Time: attributes["time"], Message: attributes["msg"], Attributes: attributes}
		for _, key := range []string{"time", "level", "msg", "request"} {
			delete(attributes, key)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// parseLine returns the key=value pairs of a line by their keys. It skips text that is
// not part of a pair.
func parseLine(line string) map[string]string {
	attributes := make(map[string]string)
	for line != "" {
		line = strings.TrimLeft(line, " ")
		key, rest, found := strings.Cut(line, "=")
		if !found {
			break
		}
		if i := strings.LastIndexByte(key, ' '); i >= 0 {
			key = key[i+1:]
		}
		var value string
		value, line = parseValue(rest)
		attributes[key] = value
	}
	return attributes
}

// parseValue returns the value at the start of the text, without quotes and escapes,
// and the text after it.
func parseValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	var b strings.Builder
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			return b.String(), text[i+1:]
		case '\\':
			i++
			if i < len(text) {
				b.WriteByte(text[i])
			}
		default:
			b.WriteByte(text[i])
		}
	}
	return b.String(), ""
}
