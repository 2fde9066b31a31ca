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

// pageMode is the mode of a written page.
const pageMode = 0o644

type burnCommand struct {
	fleetFlags
	outputFlags
	HTML string `arg:"--html" placeholder:"FILE" help:"write a page with plots to the file"`
}

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

func (c *burnCommand) write(out io.Writer, report operator.BurnReport) error {
	if c.HTML == "" {
		return c.print(out, report, report.WriteText)
	}
	file, err := os.OpenFile(c.HTML, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, pageMode)
	if err != nil {
		return &exitError{Code: exitUsage, Cause: err}
	}
	return errors.Join(report.WriteHTML(file), file.Close())
}
