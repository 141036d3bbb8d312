package main

import (
	"fmt"
	"os"
)

func main() {
	if err := newApp().Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "laburnumlever:", err)
		os.Exit(exitCode(err))
	}
}
