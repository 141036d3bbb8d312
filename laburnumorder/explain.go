package laburnumorder

import (
	"fmt"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
)

// planningRound is the result of one planning round, for explanations. It is immutable.
type planningRound struct {
	snapshot laburnumplacement.Snapshot
	plan     laburnumplacement.Plan
	history  []moveRecord
	at       time.Time
}

// moveRecord is a move that was started.
type moveRecord struct {
	move  laburnumplacement.Move
	order laburnumlever.OrderID
	at    time.Time
}

func (o *Owner) recordMove(m laburnumplacement.Move, order laburnumlever.OrderID, now time.Time) {
	o.history = append(slices.Clone(o.history), moveRecord{move: m, order: order, at: now})
	if len(o.history) > historySize {
		o.history = o.history[len(o.history)-historySize:]
	}
}

func (o *Owner) publish(s laburnumplacement.Snapshot, plan laburnumplacement.Plan, now time.Time) {
	o.lastRound.Store(&planningRound{snapshot: s, plan: plan, history: o.history, at: now})
}

// Explain describes the placement of a model's copies, the planned moves and the moves
// that this owner has started. It returns false when this VM does not own its zone. It is
// safe for concurrent use.
func (o *Owner) Explain(model laburnumlever.ModelName) (laburnumlever.Explanation, bool) {
	p := o.lastRound.Load()
	if p == nil || !o.Owns() {
		return laburnumlever.Explanation{}, false
	}
	e := laburnumlever.Explanation{Subject: "model " + string(model)}
	e.Lines = laburnumplacement.Explain(p.snapshot, p.plan, model)
	for _, r := range p.history {
		if r.move.Copy.Model == model || r.move.For == model {
			e.Lines = append(e.Lines, fmt.Sprintf("moved %s ago by order %s: %s", p.at.Sub(r.at).Round(time.Second), r.order, r.move))
		}
	}
	return e, true
}
