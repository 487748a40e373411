package report

import (
	"bytes"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/lacewingpier/lacewingpier/cmd/internal/load"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Sizes of a plot.
const (
	plotWidth      = 18 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	barGroupPoints = 24
	// maxBarGroups is the largest number of groups that stays readable.
	maxBarGroups = 40
)

type series struct {
	name   string
	values []float64
}

// Free space in a bar plot: the factor by which the axis exceeds the highest
// value, for the legend, and the distance from the outer groups to the edge of
// the plot, in groups.
const (
	legendHeadroom = 1.4
	edgeMargin     = 0.6
)

// barPlot draws one group of bars for each name.
func barPlot(title string, names []string, allSeries []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	width := vg.Points(barGroupPoints / float64(len(allSeries)))
	for i, s := range allSeries {
		chart, err := plotter.NewBarChart(plotter.Values(s.values), width)
		if err != nil {
			return "", errkind.Wrap(errkind.Internal, err, "plot "+title)
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = width * vg.Length(float64(i)-float64(len(allSeries)-1)/2)
		p.Add(chart)
		p.Legend.Add(s.name, chart)
	}
	p.Legend.Top = true
	p.Y.Min = 0
	// Without free space above and beside the bars, the legend hides the last
	// group and the group is cut off at the edge.
	p.Y.Max *= legendHeadroom
	p.NominalX(names...)
	p.X.Min = -edgeMargin
	p.X.Max = float64(len(names)-1) + edgeMargin
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign = -1
	return renderSVG(p)
}

// percentilePlot draws latency against percentile.
func percentilePlot(title string, points []load.Point) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	xys := make(plotter.XYs, len(points))
	for i, point := range points {
		xys[i].X, xys[i].Y = point.Percentile, point.Millis
	}
	if err := plotutil.AddLinePoints(p, xys); err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "plot "+title)
	}
	return renderSVG(p)
}

// renderSVG renders a plot as an SVG element for the page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "draw a plot")
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "draw a plot")
	}
	raw := out.Bytes()
	// The XML prologue is not allowed inside HTML.
	if start := bytes.Index(raw, []byte("<svg")); start > 0 {
		raw = raw[start:]
	}
	// The plot library escapes the texts in its output.
	return template.HTML(raw), nil
}
