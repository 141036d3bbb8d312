//go:build !linux

package laburnumdiskfault

import (
	"errors"
	"os/exec"
)

// Launch returns an *UnavailableError: only Linux is supported.
func Launch(string, []string) error { return unsupported() }

// Start returns an *UnavailableError: only Linux is supported.
func (d *Disk) Start(*exec.Cmd) error { return unsupported() }

func unsupported() error {
	return &UnavailableError{Step: "install the filter", Cause: errors.ErrUnsupported}
}
