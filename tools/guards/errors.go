package main

import "fmt"

// listError reports a list of guards that can't be parsed.
type listError struct {
	Path  string
	Cause error
}

func (e *listError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Cause) }

func (e *listError) Unwrap() error { return e.Cause }

// matchCountError reports a guard whose text does not occur exactly once in its file.
type matchCountError struct {
	File, With string
	Times      int
}

func (e *matchCountError) Error() string {
	return fmt.Sprintf("%s: %q occurs %d times, want once", e.File, e.With, e.Times)
}

// buildError reports a project that does not build without a guard.
type buildError struct{ Output string }

func (e *buildError) Error() string { return "does not build without the guard: " + e.Output }

// missingTestError reports a test that does not exist.
type missingTestError struct{ Test string }

func (e *missingTestError) Error() string { return "no such test: " + e.Test }

// undetectedError counts the guards whose removal no test detected, and those that could not be
// checked.
type undetectedError struct{ Unnoticed, Failed int }

func (e *undetectedError) Error() string {
	return fmt.Sprintf("removal of %d guards not detected by a test, %d guards not checked", e.Unnoticed, e.Failed)
}
