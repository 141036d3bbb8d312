package laburnumsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"laburnumlever"
)

// fileSuffixes are the suffixes of catalogue files in a directory.
var fileSuffixes = []string{".json", ".jsonc", ".hujson"}

// LoadCatalogue reads a catalogue from one file, or merges all catalogue files of a
// directory: lists are concatenated in the order of the file names, and exactly one
// file contains the deployment. The error is a *laburnumlever.CatalogueInvalidError
// that lists all faults.
func LoadCatalogue(fileOrDir string) (laburnumlever.Catalogue, error) {
	files, err := catalogueFiles(fileOrDir)
	if err != nil {
		return laburnumlever.Catalogue{}, err
	}
	m := &merger{}
	for _, file := range files {
		m.merge(readDocument(file))
	}
	return m.finish(fileOrDir)
}

// ParseCatalogue parses the text of a catalogue as LoadCatalogue does for a file of that
// name.
func ParseCatalogue(name string, text []byte) (laburnumlever.Catalogue, error) {
	m := &merger{}
	m.merge(parseDocument(name, text))
	return m.finish(name)
}

func catalogueFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, unreadable(path, "cannot be read: "+errorWithoutPath(err))
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, unreadable(path, "cannot be read: "+errorWithoutPath(err))
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
		File: path, Line: 1, Key: fileKey, Problem: problem, Want: "a catalogue file or a directory of them",
	}}}
}

// merger merges the files of a catalogue and records the position of each entry.
type merger struct {
	catalogue laburnumlever.Catalogue
	docs      []*document
	// deploymentDoc is the file that contains the deployment; nil if none does.
	deploymentDoc *document
	positions     map[string][]position
}

// position is the file and list index that an entry of a merged list came from.
type position struct {
	doc   *document
	index int
}

func (m *merger) merge(doc *document) {
	m.docs = append(m.docs, doc)
	var part laburnumlever.Catalogue
	doc.decode(&part)
	if doc.root.Value == nil {
		return
	}
	m.mergeDeployment(doc, part.Deployment)
	c := &m.catalogue
	c.Owners = append(c.Owners, part.Owners...)
	m.recordPositions("owners", doc, len(part.Owners))
	c.Classes = append(c.Classes, part.Classes...)
	m.recordPositions("classes", doc, len(part.Classes))
	c.Models = append(c.Models, part.Models...)
	m.recordPositions("models", doc, len(part.Models))
	c.Services = append(c.Services, part.Services...)
	m.recordPositions("services", doc, len(part.Services))
}

func (m *merger) mergeDeployment(doc *document, deployment laburnumlever.Deployment) {
	if _, present := doc.lines["deployment"]; !present {
		return
	}
	if m.deploymentDoc != nil {
		doc.add("deployment", "stands in "+m.deploymentDoc.file+" too", "the deployment in one file")
		return
	}
	m.deploymentDoc = doc
	m.catalogue.Deployment = deployment
}

func (m *merger) recordPositions(list string, doc *document, count int) {
	if m.positions == nil {
		m.positions = make(map[string][]position)
	}
	for i := range count {
		m.positions[list] = append(m.positions[list], position{doc: doc, index: i})
	}
}

// finish checks the merged catalogue and adds the file and line to each fault.
func (m *merger) finish(path string) (laburnumlever.Catalogue, error) {
	m.catalogue = withVersions(m.catalogue)
	for _, fault := range CheckCatalogue(m.catalogue) {
		m.locate(fault)
	}
	var faults []laburnumlever.Fault
	for _, doc := range m.docs {
		faults = append(faults, doc.faults...)
	}
	if m.deploymentDoc == nil {
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

// locate adds a fault of the merged catalogue to the file that caused it.
func (m *merger) locate(fault laburnumlever.Fault) {
	doc, key := m.deploymentDoc, fault.Key
	list, rest, isEntry := strings.Cut(fault.Key, "[")
	if isEntry && m.positions[list] != nil {
		number, tail, _ := strings.Cut(rest, "]")
		at := m.positions[list][parseLine(number)]
		doc = at.doc
		key = fmt.Sprintf("%s[%d]%s", list, at.index, tail)
	}
	if doc == nil {
		return
	}
	doc.addUnreported(key, fault.Problem, fault.Want)
}

// withVersions sets Versions of models that give only the current version.
func withVersions(c laburnumlever.Catalogue) laburnumlever.Catalogue {
	c.Models = slices.Clone(c.Models)
	for i, model := range c.Models {
		if len(model.Versions) == 0 && model.Version != "" {
			c.Models[i].Versions = []laburnumlever.Version{model.Version}
		}
	}
	return c
}
