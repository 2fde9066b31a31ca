package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/platform"
	"sycamoreramp.example/sycamoreramp/settings"
)

// settingsFlag names the settings file on the command line.
const settingsFlag = "--settings"

// useSettings loads the tool's settings file, if one is named, and sets the
// environment variables of the flags that are not set yet.
func useSettings(line []string) error {
	file := settingsFile(line)
	if file == "" {
		return nil
	}
	s, err := settings.LoadTool(file)
	if err != nil {
		return &exitError{Code: exitUsage, Cause: err}
	}
	address := ""
	if len(s.Daemons) > 0 {
		address = s.Daemons[0]
	}
	for _, v := range []struct{ name, value string }{
		{"SYCAMORERAMP_PLATFORM", s.Platform},
		{"SYCAMORERAMP_OPERATOR", s.Operator.Reveal()},
		{"SYCAMORERAMP_DAEMONS", strings.Join(s.Daemons, ",")},
		{"SYCAMORERAMP_ADDRESS", address},
		{"SYCAMORERAMP_KEY", s.Key.Reveal()},
		{"SYCAMORERAMP_TIMEOUT", s.Timeout.String()},
	} {
		if _, set := os.LookupEnv(v.name); set || v.value == "" {
			continue
		}
		if err := os.Setenv(v.name, v.value); err != nil {
			return err
		}
	}
	return nil
}

// settingsFile returns the file that the command line or the environment
// names, or "".
func settingsFile(line []string) string {
	for i, word := range line {
		if file, ok := strings.CutPrefix(word, settingsFlag+"="); ok {
			return file
		}
		if word == settingsFlag && i+1 < len(line) {
			return line[i+1]
		}
	}
	return os.Getenv("SYCAMORERAMP_SETTINGS")
}

type checkCommand struct {
	outputFlags
	Daemon    []string `arg:"--daemon,separate" help:"settings files of daemons"`
	Platform  []string `arg:"--platform,separate" help:"settings files that the users' platform writes"`
	Deploy    []string `arg:"--deploy,separate" help:"deploy files for the users' platform"`
	Tool      []string `arg:"--tool,separate" help:"settings files of this tool"`
	Customers string   `arg:"--customers" help:"TOML file with the customers; needs --plans"`
	Plans     string   `arg:"--plans" help:"TOML file with the plans; needs --customers"`
	Example   string   `arg:"--example" placeholder:"daemon|tool" help:"print a settings file with every setting"`
}

func (c *checkCommand) run(_ context.Context, t tool) error {
	switch c.Example {
	case "":
	case "daemon":
		fmt.Fprint(t.out, settings.ExampleDaemon())
	case "tool":
		fmt.Fprint(t.out, settings.ExampleTool())
	default:
		return &exitError{Code: exitUsage, Cause: fmt.Errorf("no example for %q: want daemon or tool", c.Example)}
	}
	var failures []error
	verdicts := []checkedWire{}
	note := func(file string, err error) {
		verdict := checkedWire{File: file, OK: err == nil}
		if err != nil {
			failures = append(failures, err)
			verdict.Faults = strings.Split(err.Error(), "\n")
		}
		verdicts = append(verdicts, verdict)
	}
	for _, file := range c.Daemon {
		_, err := settings.Load(file)
		note(file, err)
	}
	for _, file := range c.Platform {
		_, err := platform.LoadSettings(file)
		note(file, err)
	}
	for _, file := range c.Deploy {
		note(file, platform.CheckDeploy(file))
	}
	for _, file := range c.Tool {
		_, err := settings.LoadTool(file)
		note(file, err)
	}
	if c.Customers != "" || c.Plans != "" {
		note(c.Customers+" and "+c.Plans, c.checkLists())
	}
	if err := c.report(t.out, verdicts); err != nil {
		return err
	}
	if len(failures) > 0 {
		return &exitError{Code: exitUsage, Cause: errors.Join(failures...)}
	}
	return nil
}

// checkedWire is the verdict about a file in JSON.
type checkedWire struct {
	File   string   `json:"file"`
	OK     bool     `json:"ok"`
	Faults []string `json:"faults,omitempty"`
}

// report prints the verdicts. Faults go to the error that the command ends with,
// and with it to standard error.
func (c *checkCommand) report(out io.Writer, verdicts []checkedWire) error {
	if len(verdicts) == 0 {
		return nil
	}
	return c.print(out, verdicts, func(w io.Writer) error {
		for _, v := range verdicts {
			if v.OK {
				fmt.Fprintf(w, "%s: ok\n", v.File)
			}
		}
		return nil
	})
}

func (c *checkCommand) checkLists() error {
	customers, err := os.ReadFile(c.Customers)
	if err != nil {
		return err
	}
	plans, err := os.ReadFile(c.Plans)
	if err != nil {
		return err
	}
	_, err = operator.ParseLists(customers, plans)
	return err
}
