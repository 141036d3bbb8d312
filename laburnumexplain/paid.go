package laburnumexplain

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"laburnumlever"
)

// noAccount stands for requests without a client account, unknownZone for VMs whose start is not in the logs.
const (
	noAccount   = "-"
	unknownZone = "?"
)

var startedText = []byte(laburnumlever.EventStarted.String())

// Payer is whose requests were refused, late or failed, and by which decision.
type Payer struct {
	Account, Route, VM string
	Cause              Cause
}

// PaidReader reads the logs of any number of VMs for who paid where room was short. Its memory grows with the number of
// such requests.
type PaidReader struct {
	ends  []paidEnd
	zones map[string]string
}

type paidEnd struct {
	at    time.Time
	payer Payer
}

// Read reads a log. Skipped counts lines that contain the name of a relevant event but can't be decoded.
func (p *PaidReader) Read(r io.Reader) (skipped int, err error) {
	return scan(r, func(text []byte) bool {
		return bytes.Contains(text, servedText) || bytes.Contains(text, refusedText) || bytes.Contains(text, startedText)
	}, p.add)
}

func (p *PaidReader) add(l Line) {
	if l.Event == laburnumlever.EventStarted.String() {
		if p.zones == nil {
			p.zones = map[string]string{}
		}
		p.zones[l.VM] = fieldText(l.Fields["zone"])
	}
	if !isRequestEnd(l) {
		return
	}
	outcome, cause := outcomeOf(l)
	if outcome == InTime {
		return
	}
	p.ends = append(p.ends, paidEnd{at: l.At, payer: Payer{
		Account: cmp.Or(fieldText(l.Fields["account"]), noAccount), Route: fieldText(l.Fields["route"]), VM: l.VM,
		Cause: Cause{Outcome: outcome, Name: cause},
	}})
}

// WriteText writes for each time window who paid, at most limit rows each, the largest first. An error is the writer's.
func (p *PaidReader) WriteText(w io.Writer, width time.Duration, limit int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "from\trequests\toutcome\tdecision\taccount\troute\tzone\tVM") // Flush returns the error
	slices.SortStableFunc(p.ends, func(a, b paidEnd) int { return a.at.Compare(b.at) })
	for first := 0; first < len(p.ends); {
		from := p.ends[first].at.Truncate(width)
		counts := map[Payer]int{}
		for first < len(p.ends) && p.ends[first].at.Before(from.Add(width)) {
			counts[p.ends[first].payer]++
			first++
		}
		p.writeWindow(t, from, counts, limit)
	}
	return t.Flush()
}

func (p *PaidReader) writeWindow(w io.Writer, from time.Time, counts map[Payer]int, limit int) {
	payers := make([]Payer, 0, len(counts))
	for payer := range counts {
		payers = append(payers, payer)
	}
	slices.SortFunc(payers, func(a, b Payer) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a.Cause.Outcome, b.Cause.Outcome), cmp.Compare(a.Cause.Name, b.Cause.Name),
			cmp.Compare(a.Account, b.Account), cmp.Compare(a.Route, b.Route), cmp.Compare(a.VM, b.VM))
	})
	rest := 0
	for i, payer := range payers {
		if i >= limit {
			rest += counts[payer]
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", from.UTC().Format("15:04:05.0"), counts[payer], payer.Cause.Outcome, payer.Cause.Name,
			payer.Account, payer.Route, cmp.Or(p.zones[payer.VM], unknownZone), payer.VM)
	}
	if rest > 0 {
		_, _ = fmt.Fprintf(w, "%s\t%d\tof others\t\t\t\t\t\n", from.UTC().Format("15:04:05.0"), rest)
	}
}
