package laburnumroom

import (
	"maps"
	"slices"
	"time"

	"laburnumlever"
)

// Table holds the levels that a gateway knows.
type Table struct {
	levels map[laburnumlever.ServiceName]*held
}

// held is the newest level of a service. It is kept when it has ended, since older ones may still arrive.
type held struct {
	level Level
	at    time.Time
	ended bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{levels: map[laburnumlever.ServiceName]*held{}} }

// Apply puts a level in force unless it is older than the known one, and reports whether that changes anything.
func (t *Table) Apply(l Level, now time.Time) bool {
	known := t.levels[l.Service]
	if known != nil && !l.newerThan(known.level) {
		return false
	}
	changed := known == nil && !l.IsZero() || known != nil && !l.Same(known.inForce())
	t.levels[l.Service] = &held{level: l, at: now}
	return changed
}

// inForce returns the level, without headroom once it has ended.
func (h *held) inForce() Level {
	if h == nil || h.ended {
		return Level{}
	}
	return h.level
}

// Expire ends the levels that were not renewed in time, and returns those that had an effect.
func (t *Table) Expire(now time.Time) []Level {
	var ended []Level
	for _, service := range slices.Sorted(maps.Keys(t.levels)) {
		h := t.levels[service]
		if h.ended || now.Before(h.at.Add(h.level.HoldsFor())) {
			continue
		}
		h.ended = true
		if !h.level.IsZero() {
			ended = append(ended, h.level)
		}
	}
	return ended
}

// Headroom returns the share of a service's slots that a rank must leave free.
func (t *Table) Headroom(service laburnumlever.ServiceName, rank int) float64 {
	return t.levels[service].inForce().Headroom(rank)
}

// Status returns the levels in force.
func (t *Table) Status(now time.Time) []laburnumlever.RoomStatus {
	var list []laburnumlever.RoomStatus
	for _, service := range slices.Sorted(maps.Keys(t.levels)) {
		h := t.levels[service]
		if l := h.inForce(); !l.IsZero() {
			list = append(list, l.status(now.Sub(h.at)))
		}
	}
	return list
}

func (l Level) status(age time.Duration) laburnumlever.RoomStatus {
	return laburnumlever.RoomStatus{
		Service: l.Service, Headroom: l.ByRank(), Surging: l.Surging, Fence: l.Fence, Sequence: l.Sequence, Director: l.Director, Age: laburnumlever.Duration(age),
	}
}
