// Package laburnumregistry keeps the endpoint state of backend servers that announce themselves by
// heartbeats. It is pure: time is passed in, and results say whether other VMs need to be told.
//
// Heartbeats arrive late, out of order, through other VMs, and from backend servers that have
// ended. The higher sequence of one identity wins; an identity that is leaving never comes back;
// one that is gone leaves a tombstone, so that a late heartbeat does not revive it.
//
// # Usage
//
//	table := laburnumregistry.New(period)
//	if table.Take(heartbeat, now) { push(table.Record(heartbeat.Backend)) }
//	for _, id := range table.Expire(now) { push(table.Record(id)) }
package laburnumregistry
