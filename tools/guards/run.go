package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v2"
)

// testTimeout limits each go command: without their guard some tests never end.
const testTimeout = 2 * time.Minute

func run(args []string) error {
	app := &cli.App{
		Name:  "guards",
		Usage: "remove guards one at a time and check that their tests fail",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "project", Value: "..", Usage: "the project's `FOLDER`"},
			&cli.StringFlag{Name: "list", Value: "guards/guards.jsonc", Usage: "the list of guards, a `FILE`"},
			&cli.StringFlag{Name: "only", Usage: "only guards whose file or test contains `TEXT`"},
		},
		Action: func(c *cli.Context) error {
			return checkAll(c.Context, c.String("project"), c.String("list"), c.String("only"))
		},
	}
	return app.Run(args)
}

func checkAll(ctx context.Context, project, list, only string) error {
	guards, err := readGuards(list)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "guards")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder is harmless
	if err := copyProject(ctx, project, folder); err != nil {
		return err
	}
	var count undetectedError
	for _, g := range guards {
		if !strings.Contains(g.File, only) && !strings.Contains(g.Test, only) {
			continue
		}
		noticed, err := g.check(ctx, folder)
		switch {
		case err != nil:
			count.Failed++
			fmt.Println("not tried", g.File, g.Test, err)
		case noticed:
			fmt.Println("noticed  ", g.File, g.Test)
		default:
			count.Unnoticed++
			fmt.Println("UNNOTICED", g.File, g.Test)
		}
	}
	if count.Unnoticed+count.Failed > 0 {
		return &count
	}
	return nil
}

// copyProject copies the files tracked by git, with their content in the work tree.
func copyProject(ctx context.Context, from, to string) error {
	out, err := exec.CommandContext(ctx, "git", "-C", from, "ls-files", "-z", "--", ":!journal").Output()
	if err != nil {
		return err
	}
	for _, name := range strings.Split(strings.TrimRight(string(out), "\x00"), "\x00") {
		text, err := os.ReadFile(filepath.Join(from, name)) //nolint:gosec // a file of the project
		if errors.Is(err, os.ErrNotExist) {
			continue // deleted in the work tree
		}
		if err != nil {
			return err
		}
		path := filepath.Join(to, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// check removes the guard from a copy of the project and reports whether its test fails.
func (g guard) check(ctx context.Context, project string) (noticed bool, err error) {
	if err := g.testExists(ctx, project); err != nil {
		return false, err
	}
	restore, err := g.remove(project)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, restore()) }()
	if out, err := runGo(ctx, project, "vet", g.Package); err != nil {
		return false, &buildError{Output: out}
	}
	_, failed := runGo(ctx, project, "test", g.Package, "-count=1", "-run", "^("+g.Test+")$")
	return failed != nil, nil
}

func (g guard) testExists(ctx context.Context, project string) error {
	name, _, _ := strings.Cut(g.Test, "/")
	out, err := runGo(ctx, project, "test", g.Package, "-list", "^("+name+")$")
	if err != nil {
		return &buildError{Output: out}
	}
	if !strings.Contains(out, "Test") {
		return &missingTestError{Test: g.Test}
	}
	return nil
}

func runGo(ctx context.Context, folder string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", args...) //nolint:gosec // the list is the project's own
	cmd.Dir = folder
	out, err := cmd.CombinedOutput()
	return string(out), err
}
