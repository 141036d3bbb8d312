// Package laburnumsimulation is a discrete-event simulation of a fleet over one day. It compares
// policies for placement, load balancing and queueing without a network.
//
// It runs the decision code of production: laburnumdirector with laburnumresidency,
// laburnumbalance, laburnumslotqueue, laburnumretry and laburnumdemand. Each gateway has its own
// incomplete and delayed view of the fleet. Engines, the weight store, callers and faults are
// modelled.
//
// # What is modelled
//
//   - Engines run continuous batches: a step takes longer with each request in it, prompts that are
//     not cached are prefilled in chunks between the steps of running answers, and more urgent
//     requests may preempt less urgent ones. Engines keep weights in accelerator memory, in host
//     memory and on disk, and execute one order at a time.
//   - Control VMs receive heartbeats, and gateways receive changes with a delay that grows with the
//     number of gateways.
//   - Callers send requests as a Poisson process, leave when they run out of patience, and retry
//     after a refusal as often as their class allows.
//   - Demand shifts and bursts, engines crash, become slow, drain or disappear, and the fleet is
//     without a director for a while.
//
// Not modelled are CPU time of gateways, connections, changes by operators and packet loss. The
// result tells which of two policies serves callers better, not how well a real fleet will do.
//
// # Usage
//
//	scenario, err := laburnumsimulation.Load("examples/evaluation/large.jsonc")
//	policy, err := laburnumsimulation.PolicyNamed("today")
//	outcome := laburnumsimulation.Run(scenario, policy, 1)
//	table, err := laburnumsimulation.Compare(ctx, scenario, policies, 100, workers, progress)
package laburnumsimulation
