package main

import (
	"context"
	"io"

	"github.com/google/uuid"
	"github.com/urfave/cli/v2"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

func catalogueApplyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a catalogue into effect on all VMs",
		ArgsUsage: "FILE-OR-DIRECTORY",
		Description: "The change is applied on top of --expected-revision, by default the revision in effect on\n" +
			"the VM; of two operators who start from the same revision, one gets a conflict.\n" +
			"If the outcome is unknown, repeat the command with the --change-id and the\n" +
			"--expected-revision that it printed: a change is never applied twice.\n\n" +
			"Example: laburnumlever catalogue apply --vm 10.0.1.7:8081 catalogue/\n\n" + exitCodesText,
		Flags: []cli.Flag{
			vmFlag(), timeoutFlag(), outputFlag(),
			&cli.Uint64Flag{Name: "expected-revision", Usage: "the revision that the change is based on"},
			&cli.StringFlag{Name: "change-id", Usage: "the id of the change, to repeat it"},
			&cli.BoolFlag{Name: "dry-run", Usage: "check the change without applying it"},
		},
		OnUsageError: onUsageError,
		Action:       applyCatalogue,
	}
}

func applyCatalogue(c *cli.Context) error {
	path, err := oneArgument(c, "FILE-OR-DIRECTORY")
	if err != nil {
		return err
	}
	catalogue, err := laburnumsettings.LoadCatalogue(path)
	if err != nil {
		return err
	}
	req, err := applyRequest(c, catalogue)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer cancel()
	answer, err := clientOf(c).Apply(ctx, req)
	if err != nil {
		printf(c.App.ErrWriter, "change-id %s, expected-revision %d\n", req.ChangeID, req.ExpectedRevision)
		return err
	}
	return report(c, answer, func(w io.Writer) { printApplied(w, req, answer) })
}

func applyRequest(c *cli.Context, catalogue laburnumlever.Catalogue) (laburnumlever.ApplyRequest, error) {
	req := laburnumlever.ApplyRequest{DryRun: c.Bool("dry-run")}
	req.ChangeID = c.String("change-id")
	if req.ChangeID == "" {
		req.ChangeID = uuid.NewString()
	}
	req.ExpectedRevision = c.Uint64("expected-revision")
	if !c.IsSet("expected-revision") {
		current, err := currentCatalogue(c)
		if err != nil {
			return req, err
		}
		req.ExpectedRevision = current.Revision
	}
	req.Catalogue = catalogue
	return req, nil
}

func printApplied(w io.Writer, req laburnumlever.ApplyRequest, answer laburnumlever.ApplyAnswer) {
	switch {
	case req.DryRun:
		printf(w, "would become revision %d\n", answer.Revision)
	case answer.Repeated:
		printf(w, "already accepted as revision %d\n", answer.Revision)
	default:
		printf(w, "accepted as revision %d\n", answer.Revision)
	}
	for _, warning := range answer.Warnings {
		printLine(w, "warning:", warning)
	}
}
