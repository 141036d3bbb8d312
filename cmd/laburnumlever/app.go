// Command laburnumlever is the whole serving system in one program. Every entry VM
// runs `laburnumlever serve`; operators and developers use the other commands.
//
// # Usage
//
//	laburnumlever serve --settings rennes-a-1.jsonc
//	laburnumlever help
package main

import "github.com/urfave/cli/v2"

// The exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func newApp() *cli.App {
	return &cli.App{
		Name:  "laburnumlever",
		Usage: "serve many models from fewer accelerators",
	}
}

func exitCode(error) int { return exitFailure }
