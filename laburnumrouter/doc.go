// Package laburnumrouter decides which backend server gets a request.
//
// The load patterns it answers: many VMs route to the same engines, and each sees
// the others' work only through reports that lag and have gaps; engines differ in
// speed, slow down, fail and come back; prompts share prefixes that some engine has
// cached. Without it, round robin keeps feeding a slow engine its full part, taking
// the single best by a report sends every VM to the same engine until the next
// report, and an engine that fails fast looks the least busy and draws all work.
//
//   - Load is this VM's own count, which is exact, and what the report says beyond
//     it, which fades from one second of age (two report intervals: one may get
//     lost) to nothing at ten, since old news is worse than none.
//   - Two servers are drawn and the better one taken. One choice leaves the worst
//     queue growing with the number of servers, the best of all herds; the second
//     draw brings nearly all of the gain (power of two choices).
//   - A server's score is its load times its pace, the measured time a token. So work
//     goes by what a server delivers: an engine of half the speed gets half the
//     work, one that slows down tenfold is passed over. Pace is a running mean over
//     about five answers, so a server comes back gradually.
//   - Failures multiply the score, up to fiftyfold, and fade with a half-life of five
//     seconds. A server passed over for two seconds gets one request as a probe.
//   - A prompt whose prefix was last sent to a server goes there again while that
//     server's score is at most twice the better choice's: a cached prefix saves at
//     most the prefill, so more skew would cost more than it saves.
//   - Servers of the own zone come first; another zone's gets the request when the own
//     one's score is more than three times as bad and one request more. The hop costs
//     under a millisecond, but a zone that leans on others at half load has nothing
//     to lean on when it is cut off, and hides from placement that it needs more.
//
// # Usage
//
//	router := laburnumrouter.New(zone, seed)
//	router.Update(laburnumrouter.NewIndex(view), now)
//	server, ok := router.Pick(laburnumrouter.Query{Model: "quote-small"}, now)
//	server.Begin()
//	…
//	server.End(laburnumrouter.Sample{Took: d, Tokens: n}, now)
//
// A Router is not safe for concurrent use: its owner serialises calls. Time is
// passed in and no network is touched.
package laburnumrouter
