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

// maxLine is the length limit of a log line in bytes.
const maxLine = 1 << 20

// Line is one logged event.
type Line struct {
	At     time.Time
	VM     string
	Event  string
	Fields map[string]any
}

// Read reads a log. Skipped counts lines that hold no event.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	skipped, err = scan(r, func([]byte) bool { return true }, func(l Line) { lines = append(lines, l) })
	return lines, skipped, err
}

// scan decodes the wanted lines of a log one at a time. Skipped counts wanted lines that hold no
// event.
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

// parse decodes a line; false if it has no JSON object, event or valid time.
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

// fieldText formats a field's value; a missing field is the empty string.
func fieldText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// is reports whether a field has the value; an empty value never matches.
func (l Line) is(field, value string) bool { return value != "" && fieldText(l.Fields[field]) == value }

// text formats the fields of the line, the most important first.
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
