package main

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"
	"golang.org/x/sync/errgroup"

	"laburnumlever/laburnumstandin"
)

func standInLinkCommand() *cli.Command {
	return &cli.Command{
		Name:  "link",
		Usage: "run a TCP link that can be cut, frozen or delayed",
		Description: "Use the link's address in place of the target's. Change its state over HTTP at --control:\n" +
			"PUT /link {\"mode\": \"open|frozen|frozen-to|frozen-from|cut\", \"delay\": \"20ms\"}.\n" +
			"With \"from\": [IP, …] the mode applies only to connections from those IP addresses.\n" +
			"A frozen link holds all bytes and forwards them when it opens, like a network that\n" +
			"drops packets silently; a cut link resets connections.\n\n" +
			"Example: laburnumlever stand-in link --to 127.0.0.1:8083 --control 127.0.0.1:9000\n\n" + exitCodesText,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "to", Usage: "`ADDRESS` (IP and port) of the target"},
			&cli.StringFlag{Name: "control", Value: anyPort, Usage: "`ADDRESS` of the HTTP control interface"},
		},
		OnUsageError: onUsageError,
		Before:       requireFlags("to"),
		Action:       runLink,
	}
}

func runLink(c *cli.Context) error {
	ln, err := listen(c.Context, c.String("listen"))
	if err != nil {
		return err
	}
	control, err := listen(c.Context, c.String("control"))
	if err != nil {
		return errors.CombineErrors(err, ln.Close())
	}
	link := laburnumstandin.NewLink(c.String("to"))
	defer link.Close()
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(link.Serve(ln)) })
	printf(c.App.Writer, "ready link address=%s control=%s\n", ln.Addr(), control.Addr())
	if err := serveHandler(c.Context, control, link); err != nil {
		return err
	}
	if err := ln.Close(); err != nil {
		return err
	}
	return group.Wait()
}

// ignoreClosed returns nil for the errors of a closed listener or server, and err otherwise.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
