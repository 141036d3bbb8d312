package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/tailscale/hujson"
)

// guard is a safety check in the code and the test that must fail without it.
type guard struct {
	// Promise is the row of docs/PROMISES.md, or the failure, that the guard is for.
	Promise string `json:"promise"`
	File    string `json:"file"`
	// With is the text of the guard, which occurs once in the file; Without replaces it.
	With    string `json:"with"`
	Without string `json:"without"`
	// Package and Test name the test; Test is a regular expression.
	Package string `json:"package"`
	Test    string `json:"test"`
}

// readGuards reads the list of guards, a JSON file with comments.
func readGuards(path string) ([]guard, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, &listError{Path: path, Cause: err}
	}
	var guards []guard
	if err := json.Unmarshal(plain, &guards); err != nil {
		return nil, &listError{Path: path, Cause: err}
	}
	return guards, nil
}

// remove removes the guard from its file in a copy of the project, and returns a function that
// restores the file.
func (g guard) remove(project string) (restore func() error, err error) {
	path := filepath.Join(project, g.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if n := strings.Count(string(text), g.With); n != 1 {
		return nil, &matchCountError{File: g.File, With: g.With, Times: n}
	}
	changed := strings.Replace(string(text), g.With, g.Without, 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		return nil, err
	}
	return func() error { return os.WriteFile(path, text, 0o600) }, nil
}
