package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumsimulation"
)

// defaultSeedCount is the number of days simulated per policy.
const defaultSeedCount = 20

func evaluateCommand() *cli.Command {
	return &cli.Command{
		Name:  "evaluate",
		Usage: "simulate days of a fleet and compare policies",
		Description: "Simulates each policy on the same days, without a network, and compares how well callers are\n" +
			"served, with 95% confidence intervals. Scenarios are described in docs/evaluation.md. The policies are:\n\n" + policiesText() +
			"\nExample: laburnumlever evaluate --scenario examples/evaluation/large.jsonc --policy today --policy hindsight\n" +
			"Example: laburnumlever evaluate --scenario examples/evaluation/carpets.jsonc --engines 8\n\n" + exitCodesText,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Usage: "the scenario's `FILE`"},
			&cli.StringSliceFlag{Name: "policy", Value: cli.NewStringSlice("today"), Usage: "a policy; may be repeated, gains are relative to the first"},
			&cli.IntFlag{Name: "seeds", Value: defaultSeedCount, Usage: "how many days to simulate per policy"},
			&cli.IntFlag{Name: "engines", Usage: "override the scenario's number of engines"},
			&cli.IntFlag{Name: "workers", Value: max(1, runtime.NumCPU()/2), Usage: "how many days to simulate in parallel"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot of the days over time to this SVG `FILE`"},
			&cli.BoolFlag{Name: "quiet", Usage: "show no progress"},
			outputFlag(),
		},
		OnUsageError: onUsageError,
		Before:       requireFlags("scenario"),
		Action:       runEvaluate,
	}
}

func policiesText() string {
	var text strings.Builder
	for _, p := range laburnumsimulation.Policies() {
		fmt.Fprintf(&text, "  %-16s %s\n", p.Name, p.Summary)
	}
	return text.String()
}

func runEvaluate(c *cli.Context) error {
	scenario, err := laburnumsimulation.Load(c.String("scenario"))
	if err != nil {
		return err
	}
	if n := c.Int("engines"); n > 0 {
		scenario = scenario.WithEngines(n)
	}
	if c.Int("seeds") < 1 || c.Int("workers") < 1 {
		return &usageError{Detail: "--seeds and --workers: want 1 or more"}
	}
	var policies []laburnumsimulation.Policy
	for _, name := range c.StringSlice("policy") {
		policy, err := laburnumsimulation.PolicyNamed(name)
		if err != nil {
			return &usageError{Detail: err.Error()}
		}
		policies = append(policies, policy)
	}
	table, err := laburnumsimulation.Compare(c.Context, scenario, policies, c.Int("seeds"), c.Int("workers"), evaluateProgress(c))
	if err != nil {
		return err
	}
	if err := writeFile(c.String("plot"), table.WriteSVG); err != nil {
		return err
	}
	return reportWriter(c, table, table.WriteText)
}

// evaluateProgress shows the number of simulated days if stderr is a terminal.
func evaluateProgress(c *cli.Context) laburnumsimulation.Progress {
	if c.Bool("quiet") || !isTerminal(os.Stderr) {
		return func(int, int) {}
	}
	return func(done, all int) {
		printf(c.App.ErrWriter, "\r%d of %d days", done, all)
		if done == all {
			printLine(c.App.ErrWriter)
		}
	}
}
