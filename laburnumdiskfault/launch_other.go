//go:build !linux

package laburnumdiskfault

import (
	"os/exec"

	"github.com/cockroachdb/errors"
)

var errSystem = errors.New("only Linux can ask another process about a call")

// Launch returns an *UnavailableError: only Linux can do it.
func Launch(string, []string) error { return &UnavailableError{Step: "set a filter", Cause: errSystem} }

// Start returns an *UnavailableError: only Linux can do it.
func (d *Disk) Start(*exec.Cmd) error {
	return &UnavailableError{Step: "set a filter", Cause: errSystem}
}
