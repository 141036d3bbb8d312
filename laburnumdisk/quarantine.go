package laburnumdisk

import (
	"path/filepath"
	"strings"
)

const quarantinePrefix = "damaged-"

// SetAside renames all that a damaged folder holds, so that Open finds it empty and
// gives it a new identity. What was set aside before is removed: one damaged
// state is kept for whoever wants to look at it, not more.
func SetAside(folder string, opts ...Option) error {
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
	// The identity goes first: a crash half way leaves a log without an identity,
	// which is known as damaged; an identity without its log would start as the
	// old instance, with its votes forgotten.
	for _, name := range quarantineOrder(names) {
		from := filepath.Join(folder, name)
		if err := s.files.Rename(from, filepath.Join(folder, quarantinePrefix+name)); err != nil {
			return &IOError{Operation: "rename", File: name, Cause: err}
		}
	}
	return s.syncFolder()
}

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
