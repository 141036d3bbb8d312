// Package laburnumstate is the state machine over the replicated log: the
// catalogue with compare-and-set and change ids, the claims on requests that run
// at most once, the leases with fencing numbers, and the intents of orders to
// engines. The same commands in the same order give the same state and results on
// every replica; there is no clock, no randomness and no iteration over maps.
//
// # Failures
//
//   - An operator resends a change after its answer was lost: change ids.
//   - Two operators apply changes at the same revision: compare-and-set.
//   - A caller resends a request that must not run twice: claims.
//   - A VM was frozen while another VM acquired its lease: fencing numbers.
//   - A caller never repeats a key: without limits, its claims would fill every voter's
//     memory. At the limit a new claim is refused rather than an unexpired one
//     dropped, since dropping a claim risks a second run.
//
// A claim's own At is not used. Claims expire by the leader's clock, which continues
// from the latest time in the log, so that a VM with a wrong clock can't make claims
// expire early.
//
// # Usage
//
//	machine := laburnumstate.New()
//	result := machine.Apply(at, command) // at: the leader's clock, in milliseconds
//	data, err := machine.Image().Encode()
//	machine, err = laburnumstate.Decode(data)
package laburnumstate
