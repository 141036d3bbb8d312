package laburnumsimulation

import (
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

// The size of the chart in pixels.
const (
	chartWidth  = 1000
	chartHeight = 400
)

// WriteSVG draws the share of worth that each policy earned over the day, as the mean over the
// simulated days. An error is the library's or the writer's.
func (t Table) WriteSVG(w io.Writer) error {
	graph := chart.Chart{
		Title: t.Scenario + ": worth earned by arrival time", Width: chartWidth, Height: chartHeight,
		XAxis: chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "share of worth", Range: &chart.ContinuousRange{Max: 1}},
	}
	for _, r := range t.Rows {
		graph.Series = append(graph.Series, r.series())
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return graph.Render(chart.SVG, w)
}

// series returns the mean over the days of each window, drawn at the start of the window.
func (r Row) series() chart.Series {
	s := chart.ContinuousSeries{Name: r.Policy}
	for i := range r.Days[0].Windows {
		total, n := 0.0, 0.0
		for _, day := range r.Days {
			if i < len(day.Windows) {
				total, n = total+day.Windows[i], n+1
			}
		}
		s.XValues = append(s.XValues, float64(i)*windowLength.Seconds())
		s.YValues = append(s.YValues, total/n)
	}
	return s
}
