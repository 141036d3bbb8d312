// Package laburnumresidency plans which model engine holds which model, on engines with memory for
// a few models of many. It is pure: from what engines hold and the demand it computes the next
// orders.
//
// Load patterns: hundreds of models share the engines, a few of them get most requests, and these
// change within seconds. The engine that holds the only copy of a model fails.
//
//   - Missing models come first: in free memory, else by evicting copies that other engines hold
//     too, models without demand, or a last copy with far less demand.
//   - Then rebalancing: the copy that lowers congestion most is added, as long as its gain exceeds
//     the cost of its load, evictions and relocations.
//   - A load costs what its source costs: engines with the weights in host memory or on disk are
//     preferred to the weight store.
//   - Idle loads fill free memory with the models likeliest to need another copy.
//
// # Usage
//
//	steps := laburnumresidency.Next(class, engines, demand, adapters)
//
// An engine gets at most one order a round, and none while one is in progress. An unload before a
// load takes two rounds.
package laburnumresidency
