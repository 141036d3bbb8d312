// Package laburnumoutlier detects backend servers that answer with errors although their health
// checks pass. It is pure.
//
// Load pattern: hundreds of gateways each send a server a request or two a minute. A server that
// fails its requests is avoided by a gateway only after it has failed one from there, so that the
// fleet loses a request for each gateway. Here their outcomes add up at one control VM, which
// tells all gateways.
//
// # Usage
//
//	detector := laburnumoutlier.New()
//	for _, id := range detector.Add(outcomes, now) { tellGateways(id, detector.Count(id)) }
//
// Calls must be serialised by the owner.
package laburnumoutlier
