// Package laburnumquarantine finds requests, and parts of prompts, that crash the backend servers which run them, and keeps
// the list of those that gateways refuse. It does no I/O and reads no clock.
//
// Load pattern: a caller repeats a request that crashes each backend server within moments. Each
// repeat reaches any gateway with a new id. A crash ends all requests on the server, so that most
// requests seen at crashes are innocent, and their retries follow the crashing request to the next
// server.
//
//   - Gateways report which requests were on a server when it crashed, to all control VMs. A request
//     is known by the digest of its content.
//   - A Detector on each control VM holds a request that was on three crashed servers, for a time
//     after which the caller of an innocent one has given up. If the request crashes a server once
//     more, it is quarantined. While servers crash for other reasons, more crashes are needed.
//   - Copies of one request may be on a server together. Where three of them have ended with fewer
//     servers, all gateways together send one at a time (Trials), until it is answered or held.
//   - A request that a server answered completely is cleared.
//   - A part that prompts share may crash servers whatever else its requests hold, so that no two of these have the same digest.
//     Gateways report the parts of what was on a crashed server, with when each was last answered. A PartDetector refuses the
//     fewest parts that explain the crashes since; one request of the whole fleet at a time tries a refused part.
//   - A List on each gateway contains the entries of several control VMs. A request is refused while
//     one of them holds it or has it in quarantine.
//
// All are bounded: see maxSuspects, maxEntries, maxSuspectParts and Retention.
//
// # Usage
//
//	detector := laburnumquarantine.NewDetector() // on a control VM
//	detector.Add(report, now)
//	publish(detector.Changes(now))
//	parts := laburnumquarantine.NewPartDetector() // beside it
//	parts.Add(report.Received(now), now)
//	publish(parts.Changes(now)) // and again after KnownPartDelay
//
//	list := laburnumquarantine.NewList() // on a gateway
//	list.Apply(source, boot, entries, now)
//	if list.State(digest, now).Refused() { refuse() }
//
// None is safe for concurrent use.
package laburnumquarantine
