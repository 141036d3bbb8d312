package laburnumsettings

import (
	"bytes"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"laburnumlever"
)

// fileKey replaces the key in a fault of the whole file.
const fileKey = "(file)"

// document is one parsed file with the line of every key in it.
type document struct {
	file string
	text []byte
	root hujson.Value
	// lines maps the path of each key, such as "models[2].owner", to its line.
	lines  map[string]int
	faults []laburnumlever.Fault
}

// readDocument reads and parses a file. If the file is unreadable or not JSON with
// comments, the document has one fault and no root.
func readDocument(file string) *document {
	text, err := os.ReadFile(file)
	if err != nil {
		d := newDocument(file)
		d.add("", "cannot be read: "+errorWithoutPath(err), "a readable file")
		return d
	}
	return parseDocument(file, text)
}

func newDocument(file string) *document {
	return &document{file: file, lines: make(map[string]int)}
}

func parseDocument(file string, text []byte) *document {
	d := newDocument(file)
	d.text = text
	var err error
	d.root, err = hujson.Parse(text)
	if err != nil {
		d.addSyntax(err)
	}
	return d
}

// errorWithoutPath returns the text of a file error without the path, which the fault
// already contains.
func errorWithoutPath(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}

// addSyntax converts the error "hujson: line 3, column 5: …" to a fault at line 3.
func (d *document) addSyntax(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line := 1
	if rest, found := strings.CutPrefix(text, "line "); found {
		place, problem, _ := strings.Cut(rest, ": ")
		number, _, _ := strings.Cut(place, ",")
		line = parseLine(number)
		text = problem
	}
	d.root = hujson.Value{}
	d.faults = append(d.faults, laburnumlever.Fault{
		File: d.file, Line: line, Key: fileKey, Problem: text, Want: "JSON with comments",
	})
}

func parseLine(number string) int {
	line := 0
	for _, digit := range number {
		line = line*10 + int(digit-'0')
	}
	return line
}

// lineAt returns the 1-based line of the byte at the offset.
func (d *document) lineAt(offset int) int {
	return bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n")) + 1
}

// line returns the line of the path or, for a missing key, of the nearest enclosing
// value.
func (d *document) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func (d *document) add(path, problem, want string) {
	key := path
	if key == "" {
		key = fileKey
	}
	d.faults = append(d.faults, laburnumlever.Fault{
		File: d.file, Line: d.line(path), Key: key, Problem: problem, Want: want,
	})
}

// reported reports whether the path or an enclosing value already has a fault. A fault
// for the same key on another line belongs to a duplicate of the key and does not
// concern the first occurrence.
func (d *document) reported(path string) bool {
	return slices.ContainsFunc(d.faults, func(f laburnumlever.Fault) bool {
		return f.Key == fileKey || f.Key == path && f.Line == d.line(path) || strings.HasPrefix(path, f.Key+".") || strings.HasPrefix(path, f.Key+"[")
	})
}

// sortFaults sorts faults by file and line.
func sortFaults(faults []laburnumlever.Fault) {
	slices.SortStableFunc(faults, func(a, b laburnumlever.Fault) int {
		if a.File != b.File {
			return strings.Compare(a.File, b.File)
		}
		return a.Line - b.Line
	})
}
