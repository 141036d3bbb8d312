// Command guards shows that tests notice when a guard is missing.
//
// A guard is a line or two that hold off one failure. A test of that failure proves the
// guard only if it fails without it. guards takes a list of guards, copies the project into
// a temporary folder, takes the guards out one at a time and runs the test that must fail.
//
// # Usage
//
//	go run -C tools ./guards            # all of tools/guards/guards.jsonc
//	go run -C tools ./guards --only conn.go
//
// It prints a line for each guard and ends with an error if a test passed without its
// guard, if a guard is not found as the list has it, or if what is left does not build.
// The project itself is never changed.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "guards:", err)
		os.Exit(1)
	}
}
