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

// maxLine is the longest line of a log that is read, in bytes. An account of 24
// attempts takes about 2 kB.
const maxLine = 1 << 20

// traceCommand finds what the logs of daemons tell of a request.
type traceCommand struct {
	ID   string   `arg:"positional,required" help:"id of the request"`
	Logs []string `arg:"positional" help:"log files of daemons; standard input without any"`
	JSON bool     `arg:"--json" help:"print JSON"`
}

// tracedWire is one line of a request.
type tracedWire struct {
	Log  string            `json:"log"` // name of the file; "-" for standard input
	Time string            `json:"time"`
	What string            `json:"what"`
	Keys map[string]string `json:"keys"`
}

// run prints the request's lines in the order of their times. It ends with
// exitFailed when there is none.
func (c *traceCommand) run(_ context.Context, t tool) error {
	var lines []tracedWire
	if len(c.Logs) == 0 {
		found, err := c.read("-", os.Stdin)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range c.Logs {
		found, err := c.open(name)
		if err != nil {
			return &exitError{Code: exitUsage, Cause: err}
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return &exitError{Code: exitFailed, Cause: fmt.Errorf("no line tells of request %s", c.ID)}
	}
	slices.SortStableFunc(lines, func(a, b tracedWire) int { return strings.Compare(a.Time, b.Time) })
	if c.JSON {
		return json.NewEncoder(t.out).Encode(lines)
	}
	for _, l := range lines {
		fmt.Fprintf(t.out, "%s %s: %s\n", l.Time, l.Log, l.What)
		for _, key := range slices.Sorted(maps.Keys(l.Keys)) {
			fmt.Fprintf(t.out, "  %s %s\n", key, l.Keys[key])
		}
	}
	return nil
}

func (c *traceCommand) open(name string) ([]tracedWire, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	return c.read(name, file)
}

func (c *traceCommand) read(name string, log io.Reader) ([]tracedWire, error) {
	var lines []tracedWire
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		keys := parseLine(scanner.Text())
		if keys["request"] != c.ID {
			continue
		}
		line := tracedWire{Log: name, Time: keys["time"], What: keys["msg"], Keys: keys}
		for _, known := range []string{"time", "level", "msg", "request"} {
			delete(keys, known)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// parseLine returns the pairs of a line of key=value pairs. What is no pair is
// left out.
func parseLine(line string) map[string]string {
	keys := make(map[string]string)
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
		keys[key] = value
	}
	return keys
}

// parseValue returns the value at the start of the text, and what follows it.
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
