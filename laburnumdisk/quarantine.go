package laburnumdisk

import (
	"path/filepath"
	"strings"
)

const quarantinePrefix = "damaged-"

// Quarantine renames all files of a damaged folder, so that Open treats it as empty and
// creates a new identity. Only the latest damaged state is kept for inspection: files that
// were quarantined earlier are removed. An error is an *IOError.
func Quarantine(folder string, opts ...Option) error {
	s := &Store{files: OSFiles(), folder: folder}
	for _, opt := range opts {
		opt(s)
	}
	names, err := s.files.List(folder)
	if err != nil {
		return &IOError{Operation: "list", File: folder, Cause: err}
	}
	for _, name := range names {
		if strings.HasPrefix(name, quarantinePrefix) {
			if err := s.remove(name); err != nil {
				return err
			}
		}
	}
	// The identity is renamed first: a crash in between then leaves a log without an
	// identity, which Open reports as damaged. An identity without its log would start as
	// the old instance, which has lost its votes.
	for _, name := range quarantineOrder(names) {
		from := filepath.Join(folder, name)
		if err := s.files.Rename(from, filepath.Join(folder, quarantinePrefix+name)); err != nil {
			return &IOError{Operation: "rename", File: name, Cause: err}
		}
	}
	return s.syncFolder()
}

// quarantineOrder returns the names to rename, the identity first.
func quarantineOrder(names []string) []string {
	var order []string
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, quarantinePrefix):
		case name == identityName:
			order = append([]string{name}, order...)
		default:
			order = append(order, name)
		}
	}
	return order
}
