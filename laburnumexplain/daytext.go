package laburnumexplain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=Outcome -transform=kebab -output=outcome_gen.go

// maxCauses is the largest number of causes in a row; the most frequent come first.
const maxCauses = 3

// WriteText writes tables: the total, each subject with losses, and each window with at most limit
// subjects, those with the largest losses in it. An error is the writer's.
func (d Day) WriteText(w io.Writer, limit int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...any) { _, _ = fmt.Fprintln(t, cellsText(cells)) } // Flush returns the error
	row(fmt.Sprintf("%d requests in %d windows of %s from %s", d.Total.Requests, len(d.Windows), d.Width, d.Start.UTC().Format("2006-01-02 15:04:05")))
	row()
	row("subject", "asked", "in time", "late", "refused", "failed", "mostly")
	row("all", outcomeCells(d.Total))
	for _, subject := range subjectsByLoss(d.Subjects, len(d.Subjects)) {
		row(subject, outcomeCells(*d.Subjects[subject]))
	}
	row()
	row("from", "subject", "asked", "in time", "late", "refused", "failed", "held", "loading", "room", "mostly")
	for _, win := range d.Windows {
		from := fmt.Sprintf("%.0f s", win.From.Seconds())
		row(from, "all", countCells(win.Total), "", "", "", causesText(win.Total))
		for _, subject := range subjectsByLoss(win.Subjects, limit) {
			a := *win.Subjects[subject]
			row("", subject, countCells(a), layoutCells(win.Layouts[subject]), causesText(a))
		}
	}
	return t.Flush()
}

// subjectsByLoss returns at most limit subjects with losses, the largest first.
func subjectsByLoss(counts map[string]*OutcomeCounts, limit int) []string {
	var list []string
	for subject, a := range counts {
		if a.NotInTime() > 0 {
			list = append(list, subject)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(counts[b].NotInTime()-counts[a].NotInTime(), strings.Compare(a, b))
	})
	return list[:min(limit, len(list))]
}

func outcomeCells(a OutcomeCounts) []any { return append(countCells(a), causesText(a)) }

func countCells(a OutcomeCounts) []any {
	return []any{a.Requests, a.Outcomes[InTime], a.Outcomes[Late], a.Outcomes[Refused], a.Outcomes[Failed]}
}

func layoutCells(l Layout) []any {
	if !l.Known {
		return []any{"", "", ""}
	}
	return []any{l.Held, l.Loading, l.Room}
}

func causesText(a OutcomeCounts) string {
	var parts []string
	for _, c := range a.causes() {
		if len(parts) == maxCauses {
			break
		}
		parts = append(parts, fmt.Sprintf("%s %s %d", c.Outcome, c.Name, a.Causes[c]))
	}
	return strings.Join(parts, ", ")
}

// cellsText joins the cells of a row with tabs, flattening nested lists.
func cellsText(cells []any) string {
	var parts []string
	for _, cell := range cells {
		if list, ok := cell.([]any); ok {
			parts = append(parts, cellsText(list))
			continue
		}
		parts = append(parts, fmt.Sprint(cell))
	}
	return strings.Join(parts, "\t")
}
