package laburnumload

import (
	"fmt"

	"laburnumlever/laburnumstandin"
)

// CallResult is the result that a caller got for one send of a call. Key is the call's
// idempotency key or, without one, its request id.
type CallResult struct {
	Key string
	// Answered is true if the caller got a whole answer.
	Answered bool
	// Outcome is the outcome stated in a refusal.
	Outcome string
	// NotSent is true if the connection failed before anything was sent.
	NotSent bool
}

// CheckLedger compares the results that callers got with the calls that plain services
// ran, and lists the broken promises: a key that ran more than once, an answered key
// that never ran, and a key that ran although all of its sends were refused as not-run
// or not sent. A key has several results if it was resent.
func CheckLedger(results []CallResult, ledgers [][]laburnumstandin.LedgerEntry) []string {
	runs := make(map[string]int)
	for _, ledger := range ledgers {
		for _, entry := range ledger {
			runs[callID(entry.Key, entry.Request)]++
		}
	}
	var broken []string
	seen := make(map[string]bool)
	for _, t := range results {
		if runs[t.Key] > 1 && !seen[t.Key] {
			broken = append(broken, fmt.Sprintf("key %s ran %d times", t.Key, runs[t.Key]))
		}
		seen[t.Key] = true
		if t.Answered && runs[t.Key] == 0 {
			broken = append(broken, fmt.Sprintf("key %s was answered but never ran", t.Key))
		}
	}
	return append(broken, checkNotRun(results, runs)...)
}

// checkNotRun lists the keys that ran although no send of them may have run. If another
// send of the key was answered or has an unknown outcome, the run may be that one's.
func checkNotRun(results []CallResult, runs map[string]int) []string {
	mayHaveRun := make(map[string]bool)
	for _, t := range results {
		if !t.NotSent && t.Outcome != outcomeNotRun {
			mayHaveRun[t.Key] = true
		}
	}
	var broken []string
	reported := make(map[string]bool)
	for _, t := range results {
		if runs[t.Key] > 0 && !mayHaveRun[t.Key] && !reported[t.Key] {
			broken = append(broken, fmt.Sprintf("key %s was refused as not-run but ran", t.Key))
			reported[t.Key] = true
		}
	}
	return broken
}

// callID identifies a call by its key or, without one, by the caller's request id.
func callID(key, request string) string {
	if key != "" {
		return key
	}
	return request
}
