// Package laburnumrouter selects the backend server for a request.
//
// It is designed for many VMs that route to the same engines and see each other's requests
// only through reports that lag and get lost, for engines that differ in speed, slow down,
// fail and recover, and for prompts with shared prefixes that some engine has cached.
// Simpler methods fail here: round robin keeps sending a slow engine its full share,
// choosing the least loaded server sends all VMs to the same engine until the next report,
// and an engine that fails fast looks the least busy and attracts all requests.
//
//   - The load of a server is this VM's own count, which is exact, plus the requests that
//     the server's report adds to it. The reported part has full weight up to an age of one
//     second (two report intervals, so that one report may get lost) and none from ten
//     seconds on, because an old report is worse than none.
//   - Two random servers are compared (power of two choices). With one, the longest queue
//     grows with the number of servers; choosing the best of all makes all VMs choose the
//     same server. The second choice brings nearly all of the gain.
//   - A server's score is its load times its token time, the measured time per token. An
//     engine of half the speed thus gets half the requests, and one that slows down tenfold
//     is avoided. The token time is a moving average over about five answers, so that a
//     server recovers gradually.
//   - Failures multiply the score by up to about fifty and decay with a half-life of five
//     seconds. A server that was avoided for two seconds gets one request as a probe.
//   - A prompt goes to the server that last got a prompt with the same prefix while that
//     server's score is at most twice that of the better choice. A cached prefix saves at
//     most the prefill, so a larger imbalance would cost more than it saves.
//   - Servers in the VM's own zone are preferred. Another zone's server is chosen when the
//     own zone's score is more than three times as bad plus one request. The network hop
//     costs less than a millisecond, but a zone that sends requests to others at half load
//     lacks capacity when it is cut off, and hides from placement that it needs more.
//
// # Usage
//
//	router := laburnumrouter.New(zone, seed)
//	router.Update(laburnumrouter.NewIndex(view))
//	server, ok := router.Pick(laburnumrouter.Query{Model: "quote-small"}, now)
//	server.Begin(now)
//	…
//	server.End(laburnumrouter.Sample{Duration: d, PromptTokens: n, AnswerTokens: m}, now)
//
// A Router is not safe for concurrent use. The current time is passed in, and it makes no
// network calls.
package laburnumrouter
