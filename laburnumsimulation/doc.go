// Package laburnumsimulation plays a day of a fleet as a discrete-event model, to compare
// policies of placement, balancing and queueing without a network.
//
// It drives the parts that decide in production: laburnumdirector with
// laburnumresidency, laburnumbalance, laburnumslotqueue, laburnumretry and laburnumdemand, each
// gateway with its own partial and late knowledge. Engines, the weight store, callers and
// faults are models.
//
// # What is modelled
//
//   - Engines run a batch: a step takes longer with each request in it, a prompt that is not
//     cached is read between the steps of all others, and the more urgent preempt the less
//     urgent. They hold weights in accelerator memory, host memory and on disk, and carry one
//     order at a time out.
//   - Control VMs hear heartbeats, and gateways hear of changes after a time that grows with
//     their number.
//   - Callers ask in a Poisson process, leave, and come back once after a refusal.
//   - Demand shifts, bursts, crashes, slow and failing engines, and times without orders.
//
// What is not modelled: processor time of gateways, connections, operators' changes, losses
// of packets. A day says which of two policies serves callers better, not how well a fleet
// will do.
//
// # Usage
//
//	scenario, err := laburnumsimulation.Load("examples/evaluation/large.jsonc")
//	policy, err := laburnumsimulation.PolicyNamed("today")
//	outcome := laburnumsimulation.Run(scenario, policy, 1)
//	table, err := laburnumsimulation.Compare(ctx, scenario, policies, 100, workers, progress)
package laburnumsimulation
