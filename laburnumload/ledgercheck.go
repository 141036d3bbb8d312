package laburnumload

import (
	"fmt"

	"laburnumlever/laburnumstandin"
)

// Told is what a caller was told of one keyed call.
type Told struct {
	Key string
	// Answered tells that a whole answer came.
	Answered bool
	// Outcome is that of a refusal.
	Outcome string
	// NotSent tells that nothing left the caller.
	NotSent bool
}

// CheckLedger compares what callers were told with what plain services ran, and
// lists the promises that were broken. One key may have been told of several times:
// a resend may be told not-run only if no send of the key ran.
func CheckLedger(results []Told, ledgers [][]laburnumstandin.LedgerEntry) []string {
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

// checkNotRun looks for keys that ran although every caller of them was told that
// they did not: of a key whose other send was answered or unknown, the run may be
// that one's.
func checkNotRun(results []Told, runs map[string]int) []string {
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
			broken = append(broken, fmt.Sprintf("key %s was told not-run but ran", t.Key))
			reported[t.Key] = true
		}
	}
	return broken
}

// callID names a call by its key or, without one, by the caller's request id.
func callID(key, request string) string {
	if key != "" {
		return key
	}
	return request
}
