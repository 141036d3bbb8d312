package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v2"
)

// shownHeaders are the headers guaranteed to callers.
var shownHeaders = []string{"Laburnumlever-Outcome", "Retry-After"}

// runCaller is the program caller of the sessions: it sends one request and prints the status,
// the guaranteed headers and the body.
func runCaller(args []string) int {
	app := &cli.App{
		Name: "caller",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "header", Aliases: []string{"H"}},
			&cli.StringFlag{Name: "data", Aliases: []string{"d"}},
			&cli.IntFlag{Name: "times", Usage: "send the request this many times, each with a unique id, and print a count per status"},
			&cli.StringFlag{Name: "method", Aliases: []string{"X"}, Value: http.MethodGet},
		},
		Action: func(c *cli.Context) error {
			if c.Int("times") > 0 {
				return callRepeatedly(c)
			}
			req, err := callerRequest(c)
			if err != nil {
				return err
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

func callerRequest(c *cli.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(c.Context, c.String("method"), "http://"+c.Args().First(), strings.NewReader(c.String("data")))
	if err != nil {
		return nil, err
	}
	for _, header := range c.StringSlice("header") {
		name, value, _ := strings.Cut(header, ": ")
		req.Header.Set(name, value)
		if name == "Host" {
			req.Host = value
		}
	}
	return req, nil
}

// callRepeatedly sends the request --times times, one after the other.
func callRepeatedly(c *cli.Context) error {
	counts := map[int]int{}
	for i := range c.Int("times") {
		req, err := callerRequest(c)
		if err != nil {
			return err
		}
		req.Header.Set("X-Laburnumlever-Request-Id", fmt.Sprintf("many-%d", i))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		counts[resp.StatusCode]++
	}
	fmt.Println(counts)
	return nil
}
