package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"sycamoreramp.example/sycamoreramp/burn"
	"sycamoreramp.example/sycamoreramp/operator"
)

// reportFileMode is the file mode of an HTML report.
const reportFileMode = 0o644

// burnCommand prints the burn rates of the error budgets, merged from all daemons.
type burnCommand struct {
	fleetFlags
	outputFlags
	HTML string `arg:"--html" placeholder:"FILE" help:"write a page with plots to the file"`
}

// run merges the reports of the daemons that answer. If some do not, it prints the
// merged report and returns an exitError with exitLagging.
func (c *burnCommand) run(ctx context.Context, t tool) error {
	daemons, err := c.daemons(ctx)
	if err != nil {
		return err
	}
	var reports [][]burn.Series
	var missing []string
	client := c.client(t)
	for _, d := range daemons {
		series, err := client.Burn(ctx, d.CallerAddress)
		var refused *operator.RefusedError
		if errors.As(err, &refused) {
			return err
		}
		if err != nil {
			missing = append(missing, d.ID)
			continue
		}
		reports = append(reports, series)
	}
	report := operator.NewBurnReport(burn.Merge(reports...), t.clock.Now(), len(reports), missing)
	if err := c.write(t.out, report); err != nil {
		return err
	}
	if len(missing) > 0 {
		return &exitError{
			Code: exitLagging, Cause: fmt.Errorf("%d of %d daemons do not answer", len(missing), len(daemons)),
		}
	}
	return nil
}

// write writes the report to out, or as HTML to the file of --html.
func (c *burnCommand) write(out io.Writer, report operator.BurnReport) error {
	if c.HTML == "" {
		return c.print(out, report, report.WriteText)
	}
	file, err := os.OpenFile(c.HTML, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, reportFileMode)
	if err != nil {
		return &exitError{Code: exitUsage, Cause: err}
	}
	return errors.Join(report.WriteHTML(file), file.Close())
}
