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

// settingsFlag is the flag for the settings file. It is read before the other flags
// are parsed, since the file sets their defaults.
const settingsFlag = "--settings"

// setEnvFromSettings loads the tool's settings file, if there is one, and sets the
// environment variables of the flags from it. Variables that are set already keep
// their values.
func setEnvFromSettings(args []string) error {
	file := settingsFile(args)
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
		{"SYCAMORERAMP_PLATFORM", s.PlatformAddress},
		{"SYCAMORERAMP_OPERATOR", s.OperatorCredential.Reveal()},
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

// settingsFile returns the settings file given on the command line or else in the
// environment, or "".
func settingsFile(args []string) string {
	for i, argument := range args {
		if file, ok := strings.CutPrefix(argument, settingsFlag+"="); ok {
			return file
		}
		if argument == settingsFlag && i+1 < len(args) {
			return args[i+1]
		}
	}
	return os.Getenv("SYCAMORERAMP_SETTINGS")
}

// checkCommand checks settings files, deploy files and lists without using them.
type checkCommand struct {
	outputFlags
	Daemon    []string `arg:"--daemon,separate" help:"settings files of daemons"`
	Platform  []string `arg:"--platform,separate" help:"settings files that the users' platform writes"`
	Deploy    []string `arg:"--deploy,separate" help:"deploy files for the users' platform"`
	Tool      []string `arg:"--tool,separate" help:"settings files of this tool"`
	Customers string   `arg:"--customers" help:"TOML file with the customers; needs --plans"`
	Plans     string   `arg:"--plans" help:"TOML file with the plans; needs --customers"`
	Config    string   `arg:"--config" help:"configuration for the users' platform, before it is sent"`
	Against   string   `arg:"--against" help:"the configuration in force, which --config is compared to"`
	Example   string   `arg:"--example" placeholder:"daemon|tool" help:"print a settings file with every setting"`
}

// run checks every file and joins the errors of all of them.
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
	results := []checkResult{}
	record := func(file string, err error) {
		result := checkResult{File: file, OK: err == nil}
		if err != nil {
			failures = append(failures, err)
			result.Errors = strings.Split(err.Error(), "\n")
		}
		results = append(results, result)
	}
	for _, file := range c.Daemon {
		_, err := settings.Load(file)
		record(file, err)
	}
	for _, file := range c.Platform {
		_, err := platform.LoadSettings(file)
		record(file, err)
	}
	for _, file := range c.Deploy {
		record(file, platform.CheckDeploy(file))
	}
	for _, file := range c.Tool {
		_, err := settings.LoadTool(file)
		record(file, err)
	}
	if c.Customers != "" || c.Plans != "" {
		record(c.Customers+" and "+c.Plans, c.checkLists())
	}
	if c.Against != "" && c.Config == "" {
		return &exitError{Code: exitUsage, Cause: errors.New("--against needs --config")}
	}
	if c.Config != "" {
		changes, err := c.checkConfig()
		record(c.Config, err)
		results[len(results)-1].Changes = changes
	}
	if err := c.printResults(t.out, results); err != nil {
		return err
	}
	if len(failures) > 0 {
		return &exitError{Code: exitUsage, Cause: errors.Join(failures...)}
	}
	return nil
}

// checkResult is the result for one file in the JSON output.
type checkResult struct {
	File   string   `json:"file"`
	OK     bool     `json:"ok"`
	Errors []string `json:"faults,omitempty"`

	Changes []platform.ConfigChange `json:"changes,omitempty"` // from the configuration in force
}

// printResults writes the results. As text it writes only the valid files: the errors
// of the others are part of the command's error, which goes to standard error.
func (c *checkCommand) printResults(out io.Writer, results []checkResult) error {
	if len(results) == 0 {
		return nil
	}
	return c.print(out, results, func(w io.Writer) error {
		for _, v := range results {
			if v.OK {
				fmt.Fprintf(w, "%s: ok\n", v.File)
			}
			for _, change := range v.Changes {
				fmt.Fprintln(w, change)
			}
		}
		return nil
	})
}

// checkConfig checks the configuration, also as the successor of the one in force if that is
// given, and returns what it changes.
func (c *checkCommand) checkConfig() ([]platform.ConfigChange, error) {
	config, err := platform.ReadConfig(c.Config)
	if err != nil {
		return nil, err
	}
	faults := config.Faults()
	if c.Against == "" {
		return nil, errors.Join(faults...)
	}
	inForce, err := platform.ReadConfig(c.Against)
	if err != nil {
		return nil, errors.Join(append(faults, err)...)
	}
	return config.ChangesFrom(inForce), errors.Join(append(faults, config.FaultsAgainst(inForce)...)...)
}

// checkLists parses and validates the customers and the plans.
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
