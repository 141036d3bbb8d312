// Package laburnumload puts load on a running system and checks every answer as a
// caller would.
//
// Arrivals are open loop: a request is sent when its time has come, whether or not
// earlier ones are answered, since that is what callers do. A closed loop would
// slow down with the system and hide the very queues that it should show.
//
// The parts that decide are pure: the plan of an experiment (who asks what and
// when, from a seed), the verdict on one answer, the comparison of what callers were
// told with a plain service's ledger, and the report. Only the driver and the caller
// touch the network.
//
// # What is checked
//
// Each answer must be whole and the caller's own: the stand-in engines' text is a
// function of the prompt. A refusal must carry a known reason and an outcome. Of
// the calls that may not be repeated, each key may run once; a call that was told
// to be not run must not be in the ledger; one that was answered must be.
//
// # Usage
//
//	experiment, err := laburnumload.Load("examples/experiments/armor-pose-dawn-rush.jsonc")
//	runner := laburnumload.NewRunner([]string{"127.0.0.1:8081"}, laburnumload.WithProgress(os.Stderr))
//	report, err := runner.Run(ctx, experiment)
//	report.WriteText(os.Stdout)
package laburnumload
