// Package laburnumresidency decides which model engine holds which model, on
// engines with room for a few models of many. It is pure: it looks at what the
// engines hold and at the demand, and names the next steps.
//
// The load pattern it answers: hundreds of models on fewer places, a few of which
// get most requests, and these change within minutes or at once. Without it a model
// whose only engine dies is unreachable, and one that becomes busy keeps the one
// engine that it had when nobody asked for it.
//
//   - A model that no engine holds comes first: it goes where there is room, else in
//     the place of a copy that another engine holds too.
//   - Then demand: while one engine has clearly more work than another could take
//     over, the model that makes most of that work gets one more copy.
//   - A load costs what its source costs: an engine that has the weights in memory or
//     on disk is preferred to one that fetches them from the store.
//   - The last copy of a model is only given up for one that is asked for while it is
//     not.
//
// # Usage
//
//	steps := laburnumresidency.Next(class, engines, demand)
//
// A step is one order to one engine. Engines with an order under way get none; what
// needs an unload before a load takes two rounds.
package laburnumresidency
