package laburnumsettings

import (
	"bytes"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"laburnumlever"
)

// fileKey stands for the key in a fault of the file as a whole.
const fileKey = "(file)"

// document is one parsed file with the place of every key in it.
type document struct {
	file string
	text []byte
	root hujson.Value
	// lines holds the line of each key by its path, such as "models[2].owner".
	lines  map[string]int
	faults []laburnumlever.Fault
}

// readDocument reads and parses a file. A file that is not JSON with comments
// has one fault and no root.
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

// errorWithoutPath is the cause of a file error without the path, which the fault
// already names.
func errorWithoutPath(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}

// addSyntax turns "hujson: line 3, column 5: …" into a fault at line 3.
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

// lineAt is the line, counted from 1, that holds the byte at the offset.
func (d *document) lineAt(offset int) int {
	return bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n")) + 1
}

// line is the line of the path or, for a key that is missing, of the nearest
// value around it.
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

// reported tells whether the path or anything around it has a fault already. A
// fault on another line than the key's is that of its second writing, which says
// nothing of the first.
func (d *document) reported(path string) bool {
	return slices.ContainsFunc(d.faults, func(f laburnumlever.Fault) bool {
		return f.Key == fileKey || f.Key == path && f.Line == d.line(path) || strings.HasPrefix(path, f.Key+".") || strings.HasPrefix(path, f.Key+"[")
	})
}

// sortFaults orders faults by file and line, so that the list reads as the files do.
func sortFaults(faults []laburnumlever.Fault) {
	slices.SortStableFunc(faults, func(a, b laburnumlever.Fault) int {
		if a.File != b.File {
			return strings.Compare(a.File, b.File)
		}
		return a.Line - b.Line
	})
}
