// Package laburnumadmission enforces owners' and entries' limits on request rate, token rate
// and requests in flight.
//
// It protects against the callers of one owner or entry that exceed the agreed load through
// all entry VMs at once. Without it they would fill everybody's queues and engines. A limit
// enforced in full by each VM would multiply with the number of VMs.
//
// Each VM has a fixed share of every limit: the limit divided by the number of the
// deployment's entry VMs. No share depends on a message, so the shares never add up to more
// than the limit, even during a network partition. The remainder of a whole-number limit goes
// one each to the first VMs by name, but only on a VM that knows all of them: only then do
// all VMs agree on which are first. The drawback is that a VM with more than its part of the
// callers refuses requests while another VM has capacity left; the platform's load balancer
// keeps the parts nearly equal.
//
// Rates are token buckets that hold one second's worth (burstWindow): a shorter window would
// refuse callers that send a few requests together and then none, a longer one would admit
// a tenfold burst for that time. A request's tokens may take the bucket below zero, and later
// requests wait until it is refilled: otherwise a prompt larger than the bucket could never
// be admitted.
//
// # Usage
//
//	admission := laburnumadmission.New()
//	admission.SetShare(laburnumadmission.Share{VMs: 6, Known: 6, Rank: 2})
//	err := admission.Admit(now, request)
//	…
//	admission.Release(now, request, usedTokens) // once the request has finished
//
// An Admission is not safe for concurrent use.
package laburnumadmission
