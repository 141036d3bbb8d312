package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"laburnumlever"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumsettings"
)

// runWriter is the program writer of the sessions: an operator who applies changes one after the
// other, each on top of the previous revision. A change whose answer was lost is repeated with its
// change id at the next VM. It prints each accepted change, and fails if one is lost or applied
// twice, which shows in an unexpected revision.
func runWriter(args []string) int {
	app := &cli.App{
		Name: "writer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vm"},
			&cli.IntFlag{Name: "changes"},
			&cli.StringFlag{Name: "name", Value: "w"},
			&cli.Uint64Flag{Name: "revision"},
			&cli.BoolFlag{Name: "may-lose", Usage: "print a conflict instead of failing"},
		},
		Action: func(c *cli.Context) error {
			catalogue, err := laburnumsettings.LoadCatalogue(c.Args().First())
			if err != nil {
				return err
			}
			revision := c.Uint64("revision")
			for i := range c.Int("changes") {
				req := laburnumlever.ApplyRequest{}
				req.ChangeID = fmt.Sprintf("%s%d", c.String("name"), i+1)
				req.ExpectedRevision = revision
				req.Catalogue = catalogue
				req.Catalogue.Deployment.MoveCost = float64(i + 1)
				answer, err := applyAnywhere(c.Context, c.StringSlice("vm"), req)
				var conflict *laburnumlever.ConflictError
				if c.Bool("may-lose") && errors.As(err, &conflict) {
					fmt.Printf("%s lost: the current revision is %d\n", req.ChangeID, conflict.Current)
					return nil
				}
				if err != nil {
					return err
				}
				if answer.Revision != revision+1 {
					return &laburnumlever.ConflictError{Expected: revision + 1, Current: answer.Revision}
				}
				revision = answer.Revision
				fmt.Printf("accepted %s as revision %d\n", req.ChangeID, revision)
			}
			return nil
		},
	}
	if err := app.Run(args); err != nil {
		fmt.Fprintln(os.Stderr, "writer:", err)
		return exitFailure
	}
	return 0
}

// applyAnywhere tries the VMs in turn until one accepts; a conflict or mismatch is final.
func applyAnywhere(ctx context.Context, vms []string, req laburnumlever.ApplyRequest) (laburnumlever.ApplyAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		one, stop := context.WithTimeout(ctx, 2*time.Second)
		answer, err := laburnumoperator.NewClient(vms[i%len(vms)]).Apply(one, req)
		stop()
		var conflict *laburnumlever.ConflictError
		var mismatch *laburnumlever.MismatchError
		if err == nil || errors.As(err, &conflict) || errors.As(err, &mismatch) {
			return answer, err
		}
		last = err
		time.Sleep(awaitInterval)
	}
	return laburnumlever.ApplyAnswer{}, errors.Wrapf(last, "change %s", req.ChangeID)
}
