// Package laburnumresidency plans which model engine holds which model, on engines with memory for
// a few of many models. It is a pure function of the models that engines hold and of the demand; its
// result is the next orders.
//
// Load patterns: hundreds of models share the engines. A few models get most requests, and which
// ones changes within seconds. An engine that holds the only copy of a model may fail.
//
//   - Missing models are placed first: in free memory, else by evicting copies that other engines
//     hold too, models without demand, or a last copy with far less demand.
//   - Rebalancing follows: it adds the copy that reduces congestion most, as long as the gain exceeds
//     the cost of the load, evictions and relocations.
//   - The cost of a load depends on the source of the weights: engines that have them in host memory
//     or on disk are preferred to those that load from the weight store.
//   - A model that has left the manifest occupies memory of unknown size. Nothing is loaded beside it; it
//     is unloaded once it has no requests, or earlier by the rules for other evictions.
//   - While nothing else is loading, free memory is filled with the models likeliest to need another
//     copy.
//
// # Usage
//
//	steps := laburnumresidency.NextSteps(class, engines, demand, adapters)
//
// An engine gets at most one order per round, and none while one is in progress. A load that needs
// an unload first takes two rounds.
package laburnumresidency
