package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/operator"
	"sycamoreramp.example/sycamoreramp/platform"
)

// platformFlag is the flag of the subcommands that need the platform.
type platformFlag struct {
	Platform string `arg:"--platform,env:SYCAMORERAMP_PLATFORM,required" help:"IP number and port of the platform"`
}

// operatorFlag is the flag of the subcommands that present the operators' credential.
type operatorFlag struct {
	Credential string `arg:"--credential,env:SYCAMORERAMP_OPERATOR" help:"the operators' credential"`
}

// registry returns the registry on the platform.
func (f platformFlag) registry() platform.Registry {
	return platform.Registry{Store: platform.NewClient(f.Platform)}
}

// listFiles are the flags for files with the two lists, customers and plans.
type listFiles struct {
	Customers string `arg:"--customers" help:"TOML file with the customers"`
	Plans     string `arg:"--plans" help:"TOML file with the plans"`
}

// load reads and validates both files.
func (f listFiles) load() (ramp.Lists, error) {
	if f.Customers == "" || f.Plans == "" {
		return ramp.Lists{}, &exitError{Code: exitUsage, Cause: errors.New("--customers and --plans are needed")}
	}
	customers, err := os.ReadFile(f.Customers)
	if err != nil {
		return ramp.Lists{}, &exitError{Code: exitUsage, Cause: err}
	}
	plans, err := os.ReadFile(f.Plans)
	if err != nil {
		return ramp.Lists{}, &exitError{Code: exitUsage, Cause: err}
	}
	lists, err := operator.ParseLists(customers, plans)
	if err != nil {
		return ramp.Lists{}, &exitError{Code: exitUsage, Cause: err}
	}
	return lists, nil
}

// versionReport is a version of the lists in the JSON output.
type versionReport struct {
	Version   uint64                `json:"version"`
	Edit      string                `json:"edit"`
	Author    string                `json:"author"`
	Customers string                `json:"customers,omitempty"` // as TOML
	Plans     string                `json:"plans,omitempty"`     // as TOML
	Changes   []operator.Difference `json:"changes,omitempty"`
	Lagging   []string              `json:"lagging,omitempty"` // ids of the daemons that do not have the version in force
}

// newVersionReport returns the report of a version without its lists and changes.
func newVersionReport(l ramp.Lists) versionReport {
	return versionReport{Version: l.Version, Edit: l.Edit, Author: l.Author}
}

// printJSON writes value as JSON.
func printJSON(t tool, value any) error { return outputFlags{JSON: true}.print(t.out, value, nil) }

// showCommand prints a version of the lists.
type showCommand struct {
	platformFlag
	outputFlags
	Version *uint64 `arg:"--version" help:"an earlier version; the one in force if not given"`
}

func (c *showCommand) run(ctx context.Context, t tool) error {
	registry := c.registry()
	lists, _, err := registry.Lists(ctx)
	if err == nil && c.Version != nil {
		lists, err = operator.Editor{Registry: registry, Clock: t.clock}.Version(ctx, *c.Version)
	}
	if err != nil {
		return err
	}
	customers, plans, err := operator.FormatLists(lists)
	if err != nil {
		return err
	}
	if c.JSON {
		report := newVersionReport(lists)
		report.Customers, report.Plans = string(customers), string(plans)
		return printJSON(t, report)
	}
	fmt.Fprintf(t.out, "# version %d by %s\n\n%s\n%s", lists.Version, lists.Author, customers, plans)
	return nil
}

// diffCommand prints the differences between two versions, or between a version and
// files.
type diffCommand struct {
	platformFlag
	outputFlags
	listFiles
	From *uint64 `arg:"--from" help:"version to compare from; the one in force if not given"`
	To   *uint64 `arg:"--to" help:"version to compare to, in place of files"`
}

func (c *diffCommand) run(ctx context.Context, t tool) error {
	editor := operator.Editor{Registry: c.registry(), Clock: t.clock}
	before, _, err := editor.Registry.Lists(ctx)
	if err == nil && c.From != nil {
		before, err = editor.Version(ctx, *c.From)
	}
	if err != nil {
		return err
	}
	var after ramp.Lists
	if c.To != nil {
		after, err = editor.Version(ctx, *c.To)
	} else {
		after, err = c.load()
	}
	if err != nil {
		return err
	}
	differences := operator.Diff(before, after)
	if c.JSON {
		return printJSON(t, differences)
	}
	fmt.Fprint(t.out, operator.FormatDiff(differences))
	return nil
}

// historyCommand prints the latest versions with their changes.
type historyCommand struct {
	platformFlag
	outputFlags
	Last int `arg:"--last" default:"10" help:"number of versions"`
}

// run reads one version more than it prints, for the changes of the oldest one. The
// changes of version 1 are those from empty lists.
func (c *historyCommand) run(ctx context.Context, t tool) error {
	editor := operator.Editor{Registry: c.registry(), Clock: t.clock}
	versions, err := editor.History(ctx, c.Last+1)
	if err != nil {
		return err
	}
	reports := []versionReport{}
	for i, l := range versions[:min(c.Last, len(versions))] {
		report := newVersionReport(l)
		switch {
		case i+1 < len(versions):
			report.Changes = operator.Diff(versions[i+1], l)
		case l.Version == 1:
			report.Changes = operator.Diff(ramp.Lists{}, l)
		}
		reports = append(reports, report)
	}
	if c.JSON {
		return printJSON(t, reports)
	}
	for _, report := range reports {
		fmt.Fprintf(t.out, "version %d by %s, edit %s\n%s", report.Version, report.Author, report.Edit,
			operator.FormatDiff(report.Changes))
	}
	return nil
}

// editFlags are the flags of the subcommands that write a new version of the lists.
type editFlags struct {
	platformFlag
	operatorFlag
	outputFlags
	Base   *uint64 `arg:"--base" help:"version that the edit was made from; the one in force if not given"`
	Author string  `arg:"--author,env:USER" help:"who makes the edit"`
	Edit   string  `arg:"--edit" help:"id of the edit, to repeat one whose outcome is unknown, with the same --base"`
}

// applyCommand writes the lists of files as a new version.
type applyCommand struct {
	editFlags
	listFiles
}

func (c *applyCommand) run(ctx context.Context, t tool) error {
	lists, err := c.load()
	if err != nil {
		return err
	}
	return c.apply(ctx, t, func(uint64) (ramp.Lists, error) { return lists, nil })
}

// undoCommand writes the lists of an earlier version as a new version.
type undoCommand struct {
	editFlags
	Version *uint64 `arg:"--version" help:"version to go back to; the one before that in force if not given"`
}

func (c *undoCommand) run(ctx context.Context, t tool) error {
	return c.apply(ctx, t, func(base uint64) (ramp.Lists, error) {
		version := max(base, 1) - 1
		if c.Version != nil {
			version = *c.Version
		}
		return operator.Editor{Registry: c.registry(), Clock: t.clock}.Version(ctx, version)
	})
}

// apply writes the result of lists, which is called with the base version, as a new
// version and waits until every daemon has it in force.
func (c *editFlags) apply(ctx context.Context, t tool, lists func(base uint64) (ramp.Lists, error)) error {
	editor := operator.Editor{Registry: c.registry(), Clock: t.clock}
	current, _, err := editor.Registry.Lists(ctx)
	if err != nil {
		return err
	}
	base := current.Version
	if c.Base != nil {
		base = *c.Base
	}
	proposed, err := lists(base)
	if err != nil {
		return err
	}
	if c.Edit == "" {
		c.Edit = rand.Text()
	}
	accepted, err := editor.Apply(ctx, proposed, base, c.Edit, c.Author)
	var unknown *operator.OutcomeUnknownError
	switch {
	case errors.As(err, &unknown):
		return &exitError{Code: exitUnknown, Cause: err}
	case err != nil:
		c.printConflict(ctx, t, editor, base, proposed)
		return err
	}
	return c.awaitInForce(ctx, t, accepted)
}

// printConflict prints, for an edit that was refused because another one was accepted
// since its base, the changes of both. It prints nothing if there was no
// other edit or if the versions cannot be read.
func (c *editFlags) printConflict(
	ctx context.Context, t tool, editor operator.Editor, base uint64, proposed ramp.Lists,
) {
	var before ramp.Lists
	current, _, err := editor.Registry.Lists(ctx)
	if err == nil && base > 0 {
		before, err = editor.Version(ctx, base)
	}
	if err != nil || current.Version == base {
		return
	}
	winning, refused := operator.Diff(before, current), operator.Diff(before, proposed)
	if c.JSON {
		report := newVersionReport(current)
		report.Changes = winning
		_ = printJSON(t, map[string]any{"first": report, "refused": refused}) // the error is printed in any case
		return
	}
	fmt.Fprintf(t.out, "version %d by %s came first; since version %d it changed:\n%s", current.Version,
		current.Author, base, operator.FormatDiff(winning))
	fmt.Fprintf(t.out, "the refused edit would have changed:\n%s", operator.FormatDiff(refused))
}

// awaitInForce waits until every daemon has the accepted version in force and prints
// the daemons that do not within the command's deadline. If there are any, it returns
// an exitError with exitLagging.
func (c *editFlags) awaitInForce(ctx context.Context, t tool, accepted ramp.Lists) error {
	if !c.JSON {
		fmt.Fprintf(t.out, "accepted version %d\n", accepted.Version)
	}
	client := operator.Client{Credential: c.Credential, Client: t.client}
	lagging := client.AwaitVersion(ctx, t.clock, c.registry(), accepted.Version)
	report := newVersionReport(accepted)
	for _, d := range lagging {
		report.Lagging = append(report.Lagging, d.ID)
		if !c.JSON {
			fmt.Fprintf(t.out, "not in force on %s %s\n", d.ID, d.CallerAddress)
		}
	}
	if c.JSON {
		if err := printJSON(t, report); err != nil {
			return err
		}
	}
	if len(lagging) > 0 {
		return &exitError{Code: exitLagging, Cause: fmt.Errorf("%d daemons do not have the version in force", len(lagging))}
	}
	if !c.JSON {
		fmt.Fprintln(t.out, "in force on every daemon")
	}
	return nil
}
