package laburnumload

import (
	"fmt"
	"io"
	"time"
)

// Comparison compares the reports of two runs.
type Comparison struct {
	A    string `json:"a"`
	B    string `json:"b"`
	Rows []Row  `json:"rows"`
}

// Row is one measure with its values in both runs.
type Row struct {
	Measure string `json:"measure"`
	A       string `json:"a"`
	B       string `json:"b"`
	// Change is the change from A to B in percent, empty if A is 0.
	Change string `json:"change,omitempty"`
}

// Compare compares two reports.
func Compare(a, b Report) Comparison {
	c := Comparison{A: a.Experiment, B: b.Experiment}
	c.addNumber("sent", float64(a.Sent), float64(b.Sent))
	c.addNumber("whole", float64(a.Whole), float64(b.Whole))
	c.addNumber("refused", float64(a.Refused), float64(b.Refused))
	c.addNumber("lost", float64(a.Lost), float64(b.Lost))
	c.addNumber("attained", float64(a.Attained), float64(b.Attained))
	c.addNumber("attained-per-second-per-accelerator", a.PerAccelerator, b.PerAccelerator)
	c.addNumber("moves", float64(a.Moves), float64(b.Moves))
	c.addTime("first-token p50", time.Duration(a.FirstToken.P50), time.Duration(b.FirstToken.P50))
	c.addTime("first-token p95", time.Duration(a.FirstToken.P95), time.Duration(b.FirstToken.P95))
	c.addTime("between-tokens p95", time.Duration(a.BetweenTokens.P95), time.Duration(b.BetweenTokens.P95))
	for _, group := range a.Classes {
		c.addGroup("class", group, b.Classes)
	}
	for _, group := range a.Owners {
		c.addGroup("owner", group, b.Owners)
	}
	c.addNumber("broken promises", float64(len(a.Broken)), float64(len(b.Broken)))
	return c
}

func (c *Comparison) addGroup(kind string, a Group, others []Group) {
	for _, b := range others {
		if b.Name == a.Name {
			c.addNumber(kind+" "+a.Name+" attainment", a.Attainment, b.Attainment)
		}
	}
}

func (c *Comparison) addNumber(measure string, a, b float64) {
	c.Rows = append(c.Rows, Row{Measure: measure, A: fmt.Sprintf("%.4g", a), B: fmt.Sprintf("%.4g", b), Change: percentChange(a, b)})
}

func (c *Comparison) addTime(measure string, a, b time.Duration) {
	c.Rows = append(c.Rows, Row{Measure: measure, A: a.String(), B: b.String(), Change: percentChange(float64(a), float64(b))})
}

func percentChange(a, b float64) string {
	if a == 0 {
		return ""
	}
	return fmt.Sprintf("%+.1f%%", (b-a)/a*percent)
}

// WriteText writes the comparison as a table.
func (c Comparison) WriteText(w io.Writer) error {
	t := &textWriter{w: w}
	t.line("%-40s %14s %14s %9s", "measure", c.A, c.B, "change")
	for _, row := range c.Rows {
		t.line("%-40s %14s %14s %9s", row.Measure, row.A, row.B, row.Change)
	}
	return t.err
}
