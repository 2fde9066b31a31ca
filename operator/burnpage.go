package operator

import (
	"fmt"
	"html/template"
	"io"
	"strings"

	"sycamoreramp.example/sycamoreramp/burn"
)

// Size of a plot in pixels.
const (
	plotWidth  = 300
	plotHeight = 48
)

// burnPage renders the report as a self-contained HTML page, which loads no
// other resources.
var burnPage = template.Must(template.New("burn").Funcs(template.FuncMap{
	"latencyPlot": func(r BurnReport, s BurnSeries) plot {
		return newPlot(r, s, func(m burnMinute) float64 { return float64(m.Slow) / s.Latency.Budget })
	},
	"coveragePlot": func(r BurnReport, s BurnSeries) plot {
		return newPlot(r, s, func(m burnMinute) float64 { return m.Missing / s.Coverage.Budget })
	},
	"row":     func(s BurnSeries, r BurnRate, p plot) burnRow { return burnRow{s, r, p} },
	"percent": func(share float64) string { return fmt.Sprintf("%.4g%%", 100*share) },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { text-align: left; padding: 0.3em 0.8em; border-bottom: 1px solid #ccc; }
.page { background: #f8c8c8; }
.ticket { background: #f8e8b8; }
path { fill: none; stroke: #246; stroke-width: 1.5; }
line { stroke: #a33; stroke-dasharray: 3; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Last hour at {{.At.Format "2006-01-02 15:04:05 MST"}}, from {{.Daemons}} daemons. A burn rate of 1 uses up the
budget exactly. The dashed line of a plot is 1; its height is the highest rate.</p>
{{range .Missing}}<p>No answer from {{.}}: its requests are not in the report.</p>
{{end}}<table>
<tr><th>customer</th><th>plan</th><th>service</th><th>requests</th><th>objective</th><th>budget</th>
<th>5 min</th><th>1 h</th><th>cause</th><th>state</th><th>burn rate by minute</th></tr>
{{range $s := .Series}}{{template "row" row $s $s.Latency (latencyPlot $ $s)}}
{{template "row" row $s $s.Coverage (coveragePlot $ $s)}}
{{end}}</table>
</body>
</html>
{{define "row"}}<tr class="{{.Rate.State}}"><td>{{.Customer}}</td><td>{{.Plan}}</td><td>{{.Service}}</td>` +
	`<td>{{.Requests}}</td><td>{{.Rate.Goal}}</td><td>{{percent .Rate.Budget}}</td>` +
	`<td>{{printf "%.1f" .Rate.Short}}</td><td>{{printf "%.1f" .Rate.Long}}</td><td>{{.Rate.Cause}}</td>` +
	`<td>{{.Rate.State}}</td><td><svg width="{{.Plot.Width}}" height="{{.Plot.Height}}" role="img">` +
	`<title>highest {{printf "%.1f" .Plot.Top}}</title>` +
	`<line x1="0" x2="{{.Plot.Width}}" y1="{{.Plot.One}}" y2="{{.Plot.One}}"/><path d="{{.Plot.Path}}"/>` +
	`</svg></td></tr>{{end}}`))

// plot is a line chart of the burn rate in each minute.
type plot struct {
	Width, Height int
	Top           float64 // burn rate at the upper edge; at least 2
	One           float64 // distance of rate 1 from the upper edge, in pixels
	Path          string  // SVG path data
}

// burnRow is the template data of a table row.
type burnRow struct {
	BurnSeries
	Rate BurnRate
	Plot plot
}

// newPlot plots the burn rate of each minute of the last hour: used(m), the sum
// of the requests' budget use, divided by the number of requests.
func newPlot(r BurnReport, s BurnSeries, used func(burnMinute) float64) plot {
	var rates [burn.LongWindow]float64
	top := 2.0
	first := r.At.Unix()/60 - burn.LongWindow + 1
	for _, m := range s.Minutes {
		if i := m.At - first; i >= 0 && i < burn.LongWindow && m.Requests > 0 {
			rates[i] = used(m) / float64(m.Requests)
			top = max(top, rates[i])
		}
	}
	y := func(rate float64) float64 { return plotHeight * (1 - rate/top) }
	var path strings.Builder
	command := "M"
	for i, rate := range rates {
		fmt.Fprintf(&path, "%s%d %.1f", command, i*plotWidth/burn.LongWindow, y(rate))
		command = "L"
	}
	return plot{Width: plotWidth, Height: plotHeight, Top: top, One: y(1), Path: path.String()}
}

// WriteHTML writes the report as a self-contained HTML page.
func (r BurnReport) WriteHTML(w io.Writer) error { return burnPage.Execute(w, r) }
