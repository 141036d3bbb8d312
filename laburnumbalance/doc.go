// Package laburnumbalance chooses the backend server for a request, on fleets whose model
// engines hold different models and cache prompt prefixes. It does no I/O and reads no clock.
//
// Load patterns: hundreds of gateways send to the same engines and learn of each other's requests
// only from answers. An engine reads (prefills) an uncached prompt between the decoding steps of
// running answers, which delays them. A request queued at a full engine waits for a whole answer
// to end. A server that fails fast looks idle.
//
//   - The load of a server is this gateway's own count of running requests, which is exact, plus
//     the load that the last answer reported beyond it, which decays.
//   - The score estimates the cost of the request in milliseconds: reading the prompt, queueing,
//     traffic between zones, recent failures. The server with the lowest score is picked.
//   - A server whose reported load is high and stale may be full: a slot is reserved there before
//     the request is sent. A refused reservation marks the server as full for RetryTime.
//   - Outcomes of servers with failures are reported to the control VMs, which add them up over all
//     gateways; a server that they detect as an outlier counts as failed here too.
//   - A server that has named a limit gets only requests with a permit for it.
//   - A server that answers that it is full, or does not hold the model, is excluded at once for a
//     short time.
//
// # Usage
//
//	table := laburnumbalance.New(zone, seed)
//	table.Set(record)
//	ticket, verdict := table.Pick(query, now)
//	…
//	table.End(ticket, laburnumbalance.AttemptResult{…}, now)
//
// A Table is not safe for concurrent use.
package laburnumbalance
