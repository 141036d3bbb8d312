// Package laburnumbalance decides which backend server gets a request, on fleets
// whose model engines hold different models and cache parts of prompts. It is
// pure: time is passed in and no network is touched.
//
// The load patterns it answers: several gateways send to the same engines and each
// sees the others' work only through answers that lag; an engine reads the prompts of
// new requests between the tokens of those that run, so a prompt that it has cached
// costs the others nothing; an engine that is full makes a request wait for a whole
// other answer; one that fails fast looks idle and would draw all work.
//
//   - A server's load is this gateway's own count, which is exact, and what the last
//     answer said beyond it, which fades within three seconds.
//   - A score estimates, in milliseconds, what the request costs there: reading what is
//     not cached, waiting when all places are taken, another zone's bytes, and failures
//     seen lately. The lowest score wins.
//   - A server that was heard of too long ago, and had much to do then or is not known at
//     all, is unsure: it may be full by now, and is asked for a place before a request goes
//     there. One that had none counts as full until its next word or some moments later.
//   - What an engine says it does not hold, or that it is full, counts at once and
//     until its next word.
//
// # Usage
//
//	table := laburnumbalance.New(zone, seed)
//	table.Set(record)
//	ticket, verdict := table.Pick(query, now)
//	…
//	table.End(ticket, laburnumbalance.Sample{…}, now)
//
// A Table is not safe for concurrent use: its owner serialises calls.
package laburnumbalance
