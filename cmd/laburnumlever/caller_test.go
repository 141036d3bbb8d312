package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v2"
)

// shownHeaders are those that callers are promised.
var shownHeaders = []string{"Laburnumlever-Outcome", "Retry-After"}

// runCaller is the program that plays a caller in sessions: it sends one request and
// prints the status, the promised headers and the body.
func runCaller(args []string) int {
	app := &cli.App{
		Name: "caller",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "header", Aliases: []string{"H"}},
			&cli.StringFlag{Name: "data", Aliases: []string{"d"}},
			&cli.StringFlag{Name: "method", Aliases: []string{"X"}, Value: http.MethodGet},
		},
		Action: func(c *cli.Context) error {
			req, err := http.NewRequestWithContext(c.Context, c.String("method"), "http://"+c.Args().First(), strings.NewReader(c.String("data")))
			if err != nil {
				return err
			}
			for _, header := range c.StringSlice("header") {
				name, value, _ := strings.Cut(header, ": ")
				req.Header.Set(name, value)
				if name == "Host" {
					req.Host = value
				}
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			fmt.Println(resp.StatusCode, resp.Header.Get("Content-Type"))
			for _, name := range shownHeaders {
				if value := resp.Header.Get(name); value != "" {
					fmt.Printf("%s: %s\n", name, value)
				}
			}
			_, err = io.Copy(os.Stdout, resp.Body)
			return err
		},
	}
	if err := app.Run(args); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		return exitFailure
	}
	return 0
}
