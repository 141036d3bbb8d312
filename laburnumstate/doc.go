// Package laburnumstate is the state machine over the replicated log: the
// catalogue with compare-and-set and change ids, the claims on requests that run
// at most once, the leases with fencing numbers, and the intents of orders to
// engines. Equal commands in equal order give equal states and results on every
// replica; there is no clock, no randomness and no iteration over maps.
//
// It answers these failures: an operator who resends a change after losing the
// answer (change ids), two operators with equal numbers (compare-and-set), a
// caller who resends a request that must not run twice (claims), and a VM that
// was frozen while another took its zone over (fencing numbers). Without the
// bounds on its tables, a caller that never repeats a key would fill every
// voter's memory; the bounds refuse a new claim rather than forget one whose
// time has not passed, since to forget is to risk a second run.
//
// A claim's own At is not used: the leader's clock, which goes on from the latest
// time in the log, decides what has expired, so that a VM with a wrong clock can't
// make claims be forgotten.
//
// # Usage
//
//	machine := laburnumstate.New()
//	result := machine.Apply(at, command) // at: the leader's clock, in milliseconds
//	data, err := machine.Image().Encode()
//	machine, err = laburnumstate.Decode(data)
package laburnumstate
