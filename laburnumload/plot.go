package laburnumload

import (
	"fmt"
	"io"
	"strings"
)

// The size of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 360
	plotMargin = 48
	plotTicks  = 4
)

// series is one line of the plot.
type series struct {
	name, colour string
	value        func(Second) int
}

// plotSeries lists the lines of the plot. Their colours differ in lightness too, so that
// they can be told apart without colour vision.
var plotSeries = []series{
	{"sent", "#888888", func(s Second) int { return s.Sent }},
	{"whole", "#1f77b4", func(s Second) int { return s.Whole }},
	{"attained", "#2ca02c", func(s Second) int { return s.Attained }},
	{"refused", "#ff7f0e", func(s Second) int { return s.Refused }},
	{"lost", "#d62728", func(s Second) int { return s.Lost }},
}

// WriteSVG writes a plot of the requests per second, by time of arrival, as SVG.
func (r Report) WriteSVG(w io.Writer) error {
	t := &textWriter{w: w}
	t.line(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, plotWidth, plotHeight)
	t.line(`<rect width="100%%" height="100%%" fill="white"/>`)
	t.line(`<text x="%d" y="20">%s: requests a second</text>`, plotMargin, r.Experiment)
	most := r.maxSent()
	r.axes(t, most)
	for i, s := range plotSeries {
		t.line(`<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`, s.colour, r.points(s, most))
		t.line(`<text x="%d" y="%d" fill="%s">%s</text>`, plotWidth-2*plotMargin, plotMargin+i*16, s.colour, s.name)
	}
	t.line(`</svg>`)
	return t.err
}

func (r Report) maxSent() int {
	most := 1
	for _, second := range r.Seconds {
		most = max(most, second.Sent)
	}
	return most
}

func (r Report) axes(t *textWriter, most int) {
	for i := range plotTicks + 1 {
		value := most * i / plotTicks
		y := yOf(value, most)
		t.line(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#dddddd"/>`, plotMargin, y, plotWidth-plotMargin, y)
		t.line(`<text x="4" y="%d">%d</text>`, y, value)
	}
	for i := range plotTicks + 1 {
		second := len(r.Seconds) * i / plotTicks
		t.line(`<text x="%d" y="%d">%ds</text>`, r.xOf(second), plotHeight-plotMargin/3, second)
	}
}

func (r Report) points(s series, most int) string {
	points := make([]string, len(r.Seconds))
	for i, second := range r.Seconds {
		points[i] = fmt.Sprintf("%d,%d", r.xOf(i), yOf(s.value(second), most))
	}
	return strings.Join(points, " ")
}

func (r Report) xOf(second int) int {
	return plotMargin + second*(plotWidth-2*plotMargin)/max(1, len(r.Seconds))
}

func yOf(value, most int) int {
	return plotHeight - plotMargin - value*(plotHeight-2*plotMargin)/most
}
