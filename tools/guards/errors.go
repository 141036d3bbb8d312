package main

import "fmt"

// listError is a list of guards that can't be read.
type listError struct {
	Path  string
	Cause error
}

func (e *listError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Cause) }

func (e *listError) Unwrap() error { return e.Cause }

// notOnceError is a guard whose text does not stand in its file exactly once.
type notOnceError struct {
	File, With string
	Times      int
}

func (e *notOnceError) Error() string {
	return fmt.Sprintf("%s: %q stands there %d times", e.File, e.With, e.Times)
}

// noBuildError is a project that does not build without a guard.
type noBuildError struct{ Output string }

func (e *noBuildError) Error() string { return "it does not build without the guard: " + e.Output }

// noTestError is a test that does not exist.
type noTestError struct{ Test string }

func (e *noTestError) Error() string { return "there is no test " + e.Test }

// unnoticedError counts the guards that can be taken out unnoticed, and those that could not
// be tried.
type unnoticedError struct{ Unnoticed, Failed int }

func (e *unnoticedError) Error() string {
	return fmt.Sprintf("%d guards are missed by no test, %d could not be tried", e.Unnoticed, e.Failed)
}
