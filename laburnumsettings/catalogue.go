package laburnumsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"laburnumlever"
)

// fileSuffixes are those of the files of a catalogue directory.
var fileSuffixes = []string{".json", ".jsonc", ".hujson"}

// LoadCatalogue reads a catalogue from one file, or from all files of a
// directory as one: lists are joined in the order of the file names, and the
// deployment stands in exactly one of them. All that is wrong is listed in one
// *laburnumlever.CatalogueInvalidError.
func LoadCatalogue(fileOrDir string) (laburnumlever.Catalogue, error) {
	files, err := catalogueFiles(fileOrDir)
	if err != nil {
		return laburnumlever.Catalogue{}, err
	}
	m := &merged{}
	for _, file := range files {
		m.take(readDocument(file))
	}
	return m.finish(fileOrDir)
}

// ParseCatalogue reads a catalogue that is held in memory, as LoadCatalogue reads a
// file of that name.
func ParseCatalogue(name string, text []byte) (laburnumlever.Catalogue, error) {
	m := &merged{}
	m.take(parseDocument(name, text))
	return m.finish(name)
}

func catalogueFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, unreadable(path, "cannot be read: "+pathless(err))
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, unreadable(path, "cannot be read: "+pathless(err))
	}
	var files []string
	for _, entry := range entries {
		if !entry.IsDir() && slices.Contains(fileSuffixes, filepath.Ext(entry.Name())) {
			files = append(files, filepath.Join(path, entry.Name()))
		}
	}
	if len(files) == 0 {
		return nil, unreadable(path, "holds no file that ends in "+strings.Join(fileSuffixes, ", "))
	}
	return files, nil
}

func unreadable(path, problem string) error {
	return &laburnumlever.CatalogueInvalidError{Faults: []laburnumlever.Fault{{
		File: path, Line: 1, Key: wholeFile, Problem: problem, Want: "a catalogue file or a directory of them",
	}}}
}

// merged joins the files of a catalogue and remembers where each entry stood.
type merged struct {
	catalogue laburnumlever.Catalogue
	docs      []*document
	// deployedIn is the file that holds the deployment.
	deployedIn *document
	places     map[string][]place
}

// place is where one entry of a joined list stood.
type place struct {
	doc   *document
	index int
}

func (m *merged) take(doc *document) {
	m.docs = append(m.docs, doc)
	var part laburnumlever.Catalogue
	doc.decode(&part)
	if doc.root.Value == nil {
		return
	}
	m.takeDeployment(doc, part.Deployment)
	c := &m.catalogue
	c.Owners = append(c.Owners, part.Owners...)
	m.note("owners", doc, len(part.Owners))
	c.Classes = append(c.Classes, part.Classes...)
	m.note("classes", doc, len(part.Classes))
	c.Models = append(c.Models, part.Models...)
	m.note("models", doc, len(part.Models))
	c.Services = append(c.Services, part.Services...)
	m.note("services", doc, len(part.Services))
}

func (m *merged) takeDeployment(doc *document, deployment laburnumlever.Deployment) {
	if _, present := doc.lines["deployment"]; !present {
		return
	}
	if m.deployedIn != nil {
		doc.add("deployment", "stands in "+m.deployedIn.file+" too", "the deployment in one file")
		return
	}
	m.deployedIn = doc
	m.catalogue.Deployment = deployment
}

func (m *merged) note(list string, doc *document, count int) {
	if m.places == nil {
		m.places = make(map[string][]place)
	}
	for i := range count {
		m.places[list] = append(m.places[list], place{doc: doc, index: i})
	}
}

// finish checks the whole and gives each fault its file and line.
func (m *merged) finish(path string) (laburnumlever.Catalogue, error) {
	m.catalogue = withVersions(m.catalogue)
	for _, fault := range CheckCatalogue(m.catalogue) {
		m.locate(fault)
	}
	var faults []laburnumlever.Fault
	for _, doc := range m.docs {
		faults = append(faults, doc.faults...)
	}
	if m.deployedIn == nil {
		faults = append(faults, laburnumlever.Fault{
			File: path, Line: 1, Key: "deployment", Problem: "is missing", Want: "the deployment in one of the files",
		})
	}
	if len(faults) > 0 {
		sortFaults(faults)
		return laburnumlever.Catalogue{}, &laburnumlever.CatalogueInvalidError{Faults: faults}
	}
	return m.catalogue, nil
}

// locate gives a fault of the joined catalogue to the file that caused it.
func (m *merged) locate(fault laburnumlever.Fault) {
	doc, key := m.deployedIn, fault.Key
	list, rest, isEntry := strings.Cut(fault.Key, "[")
	if isEntry && m.places[list] != nil {
		number, tail, _ := strings.Cut(rest, "]")
		at := m.places[list][parseLine(number)]
		doc = at.doc
		key = fmt.Sprintf("%s[%d]%s", list, at.index, tail)
	}
	if doc == nil {
		return
	}
	doc.addNew(key, fault.Problem, fault.Want)
}

// withVersions fills in the versions of models that name only the current one.
func withVersions(c laburnumlever.Catalogue) laburnumlever.Catalogue {
	c.Models = slices.Clone(c.Models)
	for i, model := range c.Models {
		if len(model.Versions) == 0 && model.Version != "" {
			c.Models[i].Versions = []laburnumlever.Version{model.Version}
		}
	}
	return c
}
