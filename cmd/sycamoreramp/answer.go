package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	ramp "sycamoreramp.example/sycamoreramp"
	"sycamoreramp.example/sycamoreramp/caller"
)

// printAnswer writes an answer or a refusal as text.
func printAnswer(w io.Writer, a caller.Answer) error {
	printOutcome(w, a)
	if a.Reason == "" {
		fmt.Fprintf(w, "%d hits\n", len(a.Hits))
	}
	for _, h := range a.Hits {
		fmt.Fprintf(w, "  %s  %s\n", h.Key, h.Value)
	}
	return printAccount(w, a.Attempts)
}

// printOutcome writes whether the request was refused, whether it ran, and the
// coverage of its answer.
func printOutcome(w io.Writer, a caller.Answer) {
	fmt.Fprintf(w, "request %s under lists %d\n", idOrNone(a.ID), a.ListsVersion)
	if a.Reason != "" {
		fmt.Fprintf(w, "refused: %s\n", joinNonEmpty(a.Reason, a.Detail))
		fmt.Fprintln(w, "ran:", describeRan(a.Ran))
		if a.RetryAfter != "" {
			fmt.Fprintf(w, "repeat it after %s\n", a.RetryAfter)
		}
		return
	}
	fmt.Fprintf(w, "ran: %s, in %s\n", describeRan(a.Ran), a.Elapsed)
	fmt.Fprintf(w, "snapshot %d, coverage %s\n", a.IndexVersion, describeCoverage(a))
}

// joinNonEmpty joins the texts that are not empty with colons.
func joinNonEmpty(texts ...string) string {
	var nonEmpty []string
	for _, t := range texts {
		if t != "" {
			nonEmpty = append(nonEmpty, t)
		}
	}
	return strings.Join(nonEmpty, ": ")
}

// idOrNone returns the request's id, or a text for a request that got none.
func idOrNone(id string) string {
	if id == "" {
		return "without an id"
	}
	return id
}

// describeRan returns the text for a value of [ramp.Ran]. A value that is not known
// counts as [ramp.RanUnknown].
func describeRan(ran string) string {
	switch ramp.Ran(ran) {
	case ramp.NotRun:
		return "no, it ran nowhere"
	case ramp.HasRun:
		return "yes"
	}
	return "unknown, it may have run"
}

// describeCoverage returns "complete", or the percentage of the requested key range
// that the answer covers and the key ranges that are missing, or "malformed" if the
// covered ranges are invalid.
func describeCoverage(a caller.Answer) string {
	whole := ramp.KeyRange{Low: a.Requested[0], High: a.Requested[1]}
	ranges := make([]ramp.KeyRange, 0, len(a.Covered))
	for _, r := range a.Covered {
		ranges = append(ranges, ramp.KeyRange{Low: r[0], High: r[1]})
	}
	covered, ok := ramp.NewCoverage(ranges...)
	switch {
	case !ok:
		return "malformed"
	case covered.Covers(whole):
		return "complete"
	}
	var missing []string
	for _, r := range covered.Missing(whole) {
		missing = append(missing, fmt.Sprintf("[%d, %d)", r.Low, r.High))
	}
	percent := 100 * covered.Ratio(whole)
	return fmt.Sprintf("partial: %.2f%% of the key space; missing %s", percent, strings.Join(missing, ", "))
}

// printAccount writes the attempts as a table, or nothing if there are none.
func printAccount(w io.Writer, attempts []caller.Attempt) error {
	if len(attempts) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ATTEMPT\tKIND\tSHARD\tREPLICA\tDOMAIN\tSTARTED\tELAPSED\tOUTCOME\tSENT")
	for _, a := range attempts {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%t\n",
			a.Number, a.Kind, a.Shard, a.Replica, a.Domain, a.Started, a.Elapsed, a.Outcome, a.Sent)
	}
	return t.Flush()
}
