// Package laburnumoutlier detects backend servers that answer with errors although their health
// checks pass. It does no I/O and reads no clock.
//
// Load pattern: each of hundreds of gateways sends a server one or two requests a minute. If each
// avoided a failing server only after a failure of its own, one request would be lost per gateway.
// Here the outcomes from all gateways add up at one control VM, which informs all gateways.
//
// # Usage
//
//	detector := laburnumoutlier.New()
//	for _, id := range detector.Add(outcomes, now) { notifyGateways(id, detector.Detections(id)) }
//
// A Detector is not safe for concurrent use.
package laburnumoutlier
