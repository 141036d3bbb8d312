// Command review-cases plays the scripted cases of the review: it starts the system's own programs as separate processes,
// plays clients, backend servers, operators and the platform on loopback addresses, and checks one rule.
//
//	review-cases --case NAME --record FILE --trouble 0|1 --program target/laburnumlever
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// mostTime bounds a case, below the two minutes that a script may take.
	mostTime = 110 * time.Second
)

// caseFunc plays a case. It returns the breaches of the rule that it saw; an error means that the case could not run.
type caseFunc func(ctx context.Context, d *deployment, trouble bool) (breaches []string, err error)

// plannedCase is a case with the deployment that it is played on.
type plannedCase struct {
	play caseFunc
	size size
}

// cases are the cases by name.
var cases = map[string]plannedCase{
	"cut":    {play: playCut, size: size{controls: 4, gateways: 4}},
	"limit":  {play: playLimit, size: size{controls: 4, gateways: 4}},
	"hold":   {play: playHold, size: size{controls: 4, gateways: 2}},
	"drain":  {play: playDrain, size: size{controls: 4, gateways: 6}},
	"growth": {play: playGrowth, size: size{controls: 4, gateways: 1}},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 to play without the disruption")
	program := flag.String("program", "target/laburnumlever", "the system's program")
	flag.Parse()
	planned, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNotRun
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeoutCause(ctx, mostTime, errors.New("the case took too long"))
	defer cancel()
	d, err := newDeployment(*program, rec, planned.size)
	if err != nil {
		rec.notef("the case could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	breaches, err := planned.play(ctx, d, *trouble != "0")
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		rec.notef("the case could not run: %v", err)
		return exitNotRun
	}
	for _, b := range breaches {
		rec.notef("BROKEN %s", b)
	}
	if len(breaches) > 0 {
		rec.notef("the rule was broken")
		return exitBroken
	}
	rec.notef("the rule held")
	return exitHeld
}
