// Package laburnumwaiting holds requests that wait for a place at a backend server, and gives
// places that come free to those whom they serve best. It is pure.
//
// The load it answers: a burst of a few seconds, or an engine that is lost, makes the
// places of a model run out while answers end all the time. Turned away at once,
// callers come back together a moment later and are turned away again; let through to
// the engines, they wait behind whoever came first there, urgent or not, while a place
// comes free elsewhere.
//
// Places go first to those whose answer can still begin in time. Where more come than
// are served, strictly in turn would have each of them wait as long as the longest wait
// is, and nearly all would be late: of 45 requests a second at an engine that serves 25,
// a model of it answered 0.3 in time a second in turn and 20 this way.
//
// # Usage
//
//	var list laburnumwaiting.List
//	ok := list.Add(&laburnumwaiting.Request{Query: query, Rank: 0, Since: now, FreshTill: till, Give: take})
//	list.Serve(now, pick) // whenever a place may have come free
//
// The owner of a list serialises its calls.
package laburnumwaiting
