// Command guards is a mutation test: it checks that the tests detect the removal of a guard.
//
// A guard is a line or two of code that prevent one failure. A test of that failure proves the
// guard only if it fails without it. guards reads a list of guards, copies the project to a
// temporary folder, removes the guards one at a time and runs the test that must fail.
//
// # Usage
//
//	go run -C tools ./guards            # all of tools/guards/guards.jsonc
//	go run -C tools ./guards --only conn.go
//
// It prints a line for each guard and fails if a test passes without its guard, if the text of a
// guard does not occur once in its file, or if the code does not build without the guard. The
// project itself is never changed.
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
