// Package laburnumreturn estimates when a refused caller can be served, and remembers who was told to return. It does no I/O and
// reads no clock.
//
// Load pattern: demand moves to models that no engine holds yet, or for some seconds more requests arrive for a model than its
// engines serve. With a delay that knows nothing of either, callers return before the load ends or the queue has drained and are
// refused again, and all of those that wait for one load return with its end, when one engine has slots for a few of them.
//
// So Loads keeps when the placement leader expects models, Drains how fast queued requests get slots, and Returns the callers that
// were told to return, each of which is given the place behind those before it.
//
// # Usage
//
//	loads.Apply(heartbeat, overlay, now)     // for each overlay
//	drains.Queued(need, now)                 // when a request begins to wait for a slot
//	drains.Left(need, now)                   // and when it no longer does
//	drains.Granted(need, now)                // if a server then takes it
//	e := laburnumreturn.OfLoad(load, hold, returns.Pending(need, now), gateways)
//	returns.Told(laburnumreturn.Caller{Digest: digest, Need: need, Asked: arrived}, now.Add(e.After(random)), now)
//	asked, ok := returns.Returned(digest, account, now)
//
// The types are not safe for concurrent use; their zero values are ready to use.
package laburnumreturn
