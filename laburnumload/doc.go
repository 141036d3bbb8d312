// Package laburnumload is a load generator that checks every answer.
//
// Load is open loop: requests are sent at their planned times, whether or not earlier
// ones have been answered, since real callers do not wait for each other. A closed
// loop would slow down with the system and hide its queues.
//
// The plan of an experiment (the arrivals, generated from a seed), the check of one
// answer, the check of callers' results against the plain services' ledgers, and the
// report are pure functions of their inputs. Only Runner, Caller and ReadLedgers use
// the network.
//
// # What is checked
//
// Each answer must be complete and belong to its request: the stand-in engines' text
// is a function of the prompt. A refusal must have a known reason and an outcome. A
// non-idempotent call may run at most once per key; a call refused with the outcome
// not-run must not be in the ledger, and an answered call must be.
//
// # Usage
//
//	experiment, err := laburnumload.Load("examples/experiments/armor-pose-dawn-rush.jsonc")
//	runner := laburnumload.NewRunner([]string{"127.0.0.1:8081"}, laburnumload.WithProgress(os.Stderr))
//	report, err := runner.Run(ctx, experiment)
//	report.WriteText(os.Stdout)
package laburnumload
