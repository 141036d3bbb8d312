package laburnumexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Line is one event of one process.
type Line struct {
	At     time.Time
	VM     string
	Event  string
	Fields map[string]any
}

// Read reads a log. Skipped counts the lines without an event.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	skipped, err = scan(r, func([]byte) bool { return true }, func(l Line) { lines = append(lines, l) })
	return lines, skipped, err
}

// scan decodes the wanted lines of a log one at a time. Skipped counts those without an event.
func scan(r io.Reader, wanted func(text []byte) bool, add func(Line)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if !wanted(scanner.Bytes()) {
			continue
		}
		if line, ok := parse(scanner.Bytes()); ok {
			add(line)
		} else {
			skipped++
		}
	}
	return skipped, scanner.Err()
}

func parse(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[at:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields, VM: fieldText(fields["vm"]), Event: fieldText(fields["event"])}
	var err error
	line.At, err = time.Parse(time.RFC3339Nano, fieldText(fields["ts"]))
	return line, err == nil && line.Event != ""
}

func fieldText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// is tells whether a field has the value.
func (l Line) is(field, value string) bool { return value != "" && fieldText(l.Fields[field]) == value }

// text formats the line, the most important fields first.
func (l Line) text() string {
	first := []string{"reason", "stage", "status", "backend", "model", "adapter", "cause"}
	var parts []string
	for _, name := range first {
		if v := fieldText(l.Fields[name]); v != "" {
			parts = append(parts, name+"="+v)
		}
	}
	var rest []string
	for name, v := range l.Fields {
		if !slices.Contains(first, name) && !slices.Contains([]string{"ts", "vm", "event", "level", "request-id"}, name) && fieldText(v) != "" {
			rest = append(rest, name+"="+fieldText(v))
		}
	}
	slices.Sort(rest)
	return strings.Join(append(parts, rest...), " ")
}
