//go:build !linux

package laburnumdiskfault

import (
	"errors"
	"os/exec"
)

// Launch returns an *UnavailableError: only Linux can do it.
func Launch(string, []string) error { return unsupported() }

// Start returns an *UnavailableError: only Linux can do it.
func (d *Disk) Start(*exec.Cmd) error { return unsupported() }

func unsupported() error {
	return &UnavailableError{Step: "set a filter", Cause: errors.ErrUnsupported}
}
