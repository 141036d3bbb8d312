package laburnumexplain

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// layoutAt is a layout event.
type layoutAt struct {
	at      time.Time
	service string
	layoutLine
}

// layoutLine holds the fields of a layout event. Models that Held, Loading and None don't name
// are held by one engine if One is not 0; otherwise they are unknown.
type layoutLine struct {
	Room    int            `json:"room"`
	Held    map[string]int `json:"held"`
	Loading map[string]int `json:"loading"`
	One     int            `json:"one"`
	None    []string       `json:"none"`
}

// newLayout decodes a layout event.
func newLayout(l Line) (layoutAt, bool) {
	text, err := json.Marshal(l.Fields)
	if err != nil {
		return layoutAt{}, false
	}
	told := layoutAt{at: l.At, service: word(l.Fields["service"])}
	return told, json.Unmarshal(text, &told.layoutLine) == nil
}

// of returns the layout of a subject; false if it is unknown.
func (l layoutLine) of(subject string) (Layout, bool) {
	held, isHeld := l.Held[subject]
	loading, isLoading := l.Loading[subject]
	if !isHeld && !isLoading && (l.One == 0 || strings.HasPrefix(subject, routeSubject)) {
		return Layout{}, false
	}
	if !isHeld && l.One > 0 && !isLoading && !slices.Contains(l.None, subject) {
		held = 1
	}
	return Layout{Held: held, Loading: loading, Room: l.Room, Known: true}, true
}

// layouts is the last layout of each service.
type layouts map[string]layoutLine

func (s layouts) take(told layoutAt) { s[told.service] = told.layoutLine }

// show copies the last layouts to a window.
func (s layouts) show(w *Window) {
	for _, told := range s {
		for subject := range w.Subjects {
			if l, ok := told.of(subject); ok {
				w.Layouts[subject] = l
			}
		}
	}
}
