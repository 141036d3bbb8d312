// Package laburnumrouter decides which backend server gets a request.
//
// The load pattern it answers: many VMs route to the same engines, each sees the
// others' work only through reports that lag and have gaps, and engines differ in
// speed, slow down and come back. Without it, round robin keeps feeding a slow
// engine its full share, and taking the single best by a report sends every VM to
// the same engine until the next report.
//
// # Usage
//
//	router := laburnumrouter.New(zone)
//	router.Update(laburnumrouter.NewIndex(view), now)
//	server, ok := router.Pick(laburnumrouter.Query{Model: "quote-small"}, now)
//	server.Begin()
//	defer server.End(…)
//
// A Router is not safe for concurrent use: its owner serialises calls. Time is
// passed in and no network is touched.
package laburnumrouter
