// Package laburnumbalance chooses the backend server for a request, on fleets whose model
// engines hold different models and cache prefixes of prompts. It is pure.
//
// Load patterns: hundreds of gateways send to the same engines and learn of each other's
// requests only from answers. A prompt that is not cached is read between the tokens of the
// answers under way and delays them. A full engine queues a request for a whole answer. A
// server that fails fast looks idle.
//
//   - The load of a server is this gateway's own count, which is exact, plus what the last
//     answer reported beyond it, which fades.
//   - The score estimates the cost of the request in milliseconds: reading the prompt, queueing,
//     traffic between zones, recent failures. The lowest score wins.
//   - A server with a stale report and much load is unsure: a slot is reserved there before
//     the request is sent. A refused reservation counts as full for a moment.
//   - Outcomes of servers with failures are reported, so that the failures seen by all gateways add
//     up; a server that the control VMs detect as an outlier counts as failed here too.
//   - A server that answers that it is full, or lacks the model, is believed at once.
//
// # Usage
//
//	table := laburnumbalance.New(zone, seed)
//	table.Set(record)
//	ticket, verdict := table.Pick(query, now)
//	…
//	table.End(ticket, laburnumbalance.Sample{…}, now)
//
// A Table is not safe for concurrent use.
package laburnumbalance
