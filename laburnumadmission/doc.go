// Package laburnumadmission decides whether an owner's limits let a request in.
//
// The load pattern it answers: one owner's callers, or one entry's, ask for more
// than was agreed, through every entry VM at once. Without it they fill the queues
// and engines of all others, and a limit kept on each VM alone is a limit times the
// number of VMs.
//
// Each VM holds a fixed share of every limit: the limit divided by the number of
// the deployment's entry VMs. The shares never add up to more than the limit,
// whichever VMs can reach each other, since no share depends on a message. What a
// whole number leaves over goes one each to the first VMs by name, but only on a VM
// that knows all of them: only then do all VMs count the same ones as first. The
// price is that a VM which gets more than its part of the callers refuses while
// another has room; the platform's balancer keeps the parts near equal.
//
// Rates are token buckets that fill with one second's worth (burst): shorter would
// refuse callers that send a few requests together and then none, longer would let
// a tenfold burst through for that time. A request's cost in tokens may take the
// bucket below zero, which the next ones wait for: otherwise a prompt larger than
// the bucket could never pass.
//
// # Usage
//
//	admission := laburnumadmission.New()
//	admission.SetShare(laburnumadmission.Share{VMs: 6, Known: 6, Rank: 2})
//	err := admission.Admit(now, laburnumadmission.Request{…})
//	defer admission.Release(request)
//
// An Admission is not safe for concurrent use.
package laburnumadmission
