package laburnumexplain

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// layoutEvent is a decoded layout line with its time and service.
type layoutEvent struct {
	at      time.Time
	service string
	layoutFields
}

// layoutFields holds the fields of a layout event. A model in none of Held, Loading and None is
// held by one engine if One is not 0; otherwise its layout is unknown.
type layoutFields struct {
	Room    int            `json:"room"`
	Held    map[string]int `json:"held"`
	Loading map[string]int `json:"loading"`
	One     int            `json:"one"`
	None    []string       `json:"none"`
}

// decodeLayout decodes a layout event.
func decodeLayout(l Line) (layoutEvent, bool) {
	text, err := json.Marshal(l.Fields)
	if err != nil {
		return layoutEvent{}, false
	}
	layout := layoutEvent{at: l.At, service: fieldText(l.Fields["service"])}
	return layout, json.Unmarshal(text, &layout.layoutFields) == nil
}

// of returns the layout of a subject; false if it is unknown.
func (l layoutFields) of(subject string) (Layout, bool) {
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

// lastLayouts holds the last layout of each service.
type lastLayouts map[string]layoutFields

func (s lastLayouts) set(layout layoutEvent) { s[layout.service] = layout.layoutFields }

// copyTo sets the layouts of a window's subjects to the last known ones.
func (s lastLayouts) copyTo(w *Window) {
	for _, layout := range s {
		for subject := range w.Subjects {
			if l, ok := layout.of(subject); ok {
				w.Layouts[subject] = l
			}
		}
	}
}
