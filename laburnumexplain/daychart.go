package laburnumexplain

import (
	"io"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// The size of the chart in pixels.
const (
	chartWidth  = 1000
	chartHeight = 400
)

// chartLines holds the outcomes drawn, in colours of different lightness.
var chartLines = []struct {
	outcome Outcome
	colour  string
}{{InTime, "2ca02c"}, {Late, "1f77b4"}, {Refused, "ff7f0e"}, {Failed, "d62728"}}

// WriteSVG draws the number of requests by outcome for each window. An error is the library's or
// the writer's.
func (d Day) WriteSVG(w io.Writer) error {
	series := []chart.Series{d.series("asked", "888888", func(a OutcomeCounts) int { return a.Requests })}
	for _, line := range chartLines {
		count := func(a OutcomeCounts) int { return a.Outcomes[line.outcome] }
		series = append(series, d.series(line.outcome.String(), line.colour, count))
	}
	graph := chart.Chart{
		Title: "requests by outcome", Width: chartWidth, Height: chartHeight,
		XAxis: chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "requests per window"}, Series: series,
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return graph.Render(chart.SVG, w)
}

// series returns a value of each window as a step line.
func (d Day) series(name, colour string, value func(OutcomeCounts) int) chart.Series {
	s := chart.ContinuousSeries{Name: name, Style: chart.Style{StrokeColor: drawing.ColorFromHex(colour)}}
	for i, win := range d.Windows {
		s.XValues = append(s.XValues, win.From.Seconds())
		s.YValues = append(s.YValues, float64(value(win.Total)))
		if i == len(d.Windows)-1 {
			s.XValues = append(s.XValues, (win.From + d.Width).Seconds())
			s.YValues = append(s.YValues, float64(value(win.Total)))
		}
	}
	return s
}
