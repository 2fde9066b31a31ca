package operator

import (
	"fmt"
	"slices"
	"strings"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Difference is an entry that was added, removed or changed between two versions
// of the lists.
type Difference struct {
	List  string `json:"list"`          // "customers" or "plans"
	Entry string `json:"entry"`         // name of the entry
	Old   string `json:"old,omitempty"` // previous entry on one line; empty for an added one
	New   string `json:"new,omitempty"` // new entry on one line; empty for a removed one
}

// Diff returns the differences between two versions, customers first, sorted by
// name. Of a key, only the first 6 bytes of its hash are shown.
func Diff(before, after ramp.Lists) []Difference {
	customers := diffEntries("customers", customerLines(before), customerLines(after))
	return append(customers, diffEntries("plans", planLines(before), planLines(after))...)
}

// FormatDiff returns the differences as text. Lines of removed entries start with
// a minus sign, those of added entries with a plus sign.
func FormatDiff(differences []Difference) string {
	var b strings.Builder
	for _, d := range differences {
		kind := strings.TrimSuffix(d.List, "s")
		if d.Old != "" {
			fmt.Fprintf(&b, "- %s %s\n", kind, d.Old)
		}
		if d.New != "" {
			fmt.Fprintf(&b, "+ %s %s\n", kind, d.New)
		}
	}
	return b.String()
}

// diffEntries returns the differences between two versions of a list. The maps
// hold the entries as text, by name.
func diffEntries(list string, before, after map[string]string) []Difference {
	names := make([]string, 0, len(before)+len(after))
	for n := range before {
		names = append(names, n)
	}
	for n := range after {
		names = append(names, n)
	}
	slices.Sort(names)
	var found []Difference
	for _, n := range slices.Compact(names) {
		if before[n] != after[n] {
			found = append(found, Difference{List: list, Entry: n, Old: before[n], New: after[n]})
		}
	}
	return found
}

func customerLines(l ramp.Lists) map[string]string {
	lines := make(map[string]string, len(l.Customers))
	for _, c := range l.Customers {
		lines[c.Name] = fmt.Sprintf("name=%s plan=%s hash=%x...", c.Name, c.Plan, c.Key[:6])
	}
	return lines
}

func planLines(l ramp.Lists) map[string]string {
	lines := make(map[string]string, len(l.Plans))
	for _, a := range l.Plans {
		lines[a.Plan] = fmt.Sprintf("name=%s services=%s share=%d rate=%d prefer=%s deadline=%s latency=%s coverage=%g",
			a.Plan, strings.Join(a.Services, ","), a.Share, a.Rate, a.Prefer, a.Deadline, a.Latency, a.Coverage)
	}
	return lines
}
