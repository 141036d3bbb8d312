// Package laburnumpace decides where a prompt may be read on servers that share their machines with others and tell how long work
// takes there now. It does no I/O and reads no clock.
//
// Load pattern: a machine is slow for some hundred milliseconds, then another one is. An engine reads (prefills) a prompt between two
// steps of the streams that run there, so each of them pauses for the time of its usual steps and of the reading, both stretched by
// the machine's pace. A long prompt on a slow machine makes all of its streams late, and a gateway, which hears from each of many
// engines every few seconds, does not know which machine is slow. Prompts that are short enough for the slowest machine, and those that
// no other server can take, are sent without asking.
//
//   - A Told is the pace and load that a server told last. It counts for FreshTime; afterwards the server's pace is unknown, and
//     taken for the usual one.
//   - A Prompt says by how much it would delay an event beyond the targets of its service's streams. Of two servers the one with the
//     smaller overrun is better.
//   - A Service learns the usual time between two events from streams that are forwarded, and remembers the slowest pace of the
//     last minutes: only prompts that overrun at that pace are worth a question. Until enough paces were told, all are.
//
// # Usage
//
//	told = told.With(pace, running, now)
//	prompt := laburnumpace.Prompt{Reading: reading, Interval: service.Interval(), Target: target}
//	if !told.Fresh(now) && prompt.Pauses(service.Slowest()) { … } // ask the server
//	overrun := told.Overrun(prompt, now)
//
// A Service is not safe for concurrent use.
package laburnumpace
