package main

import (
	"io"

	"github.com/urfave/cli/v2"

	"laburnumlever/laburnumexplain"
)

// defaultSubjects is the number of models listed per window, those with the most lost requests.
const defaultSubjects = 3

func explainDayCommand() *cli.Command {
	return &cli.Command{
		Name:  "day",
		Usage: "explain where a day's requests were lost",
		Description: "Joins the logs of gateways and control VMs. Shows in total, for each model and for each time\n" +
			"window how many requests arrived, were in time, late, refused or failed, and why; and how\n" +
			"many engines held the model, were loading it or had room. No VM is asked.\n\n" +
			"Example: laburnumlever explain day --logs gateway.log --logs control.log --picture day.svg\n\n" + exitCodesText,
		Flags: []cli.Flag{
			logsFlag(),
			&cli.DurationFlag{Name: "window", Value: laburnumexplain.DefaultWidth, Usage: "the time window of a row"},
			&cli.IntFlag{Name: "most", Value: defaultSubjects, Usage: "how many models to list per window"},
			&cli.StringFlag{Name: "picture", Usage: "also write a plot of the day to this SVG `FILE`"},
		},
		OnUsageError: onUsageError,
		Action:       explainDay,
	}
}

func explainDay(c *cli.Context) error {
	files := c.StringSlice("logs")
	if len(files) == 0 || c.Duration("window") <= 0 {
		return &usageError{Detail: "--logs names at least one file, and --window is longer than 0"}
	}
	var reader laburnumexplain.DayReader
	for _, name := range files {
		err := withLog(c, name, func(in io.Reader) error {
			_, err := reader.Read(in)
			return err
		})
		if err != nil {
			return err
		}
	}
	day, err := reader.Day(c.Duration("window"))
	if err != nil {
		return err
	}
	if err := writeFile(c.String("picture"), day.WriteSVG); err != nil {
		return err
	}
	return day.WriteText(c.App.Writer, c.Int("most"))
}
