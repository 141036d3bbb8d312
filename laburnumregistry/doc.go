// Package laburnumregistry is a table of the endpoint state of backend servers that announce
// themselves by heartbeats. It does no I/O and reads no clock: times are arguments, and results tell
// whether a record changed and must be sent to other VMs.
//
// Heartbeats arrive late, out of order, through other VMs, and from backend servers that have
// stopped. For one identity the highest sequence wins, and leaving is final. A stopped backend
// server leaves a tombstone, so that a late heartbeat does not revive it. A restart has a greater
// Incarnation and replaces the earlier incarnation's record.
//
// # Usage
//
//	table := laburnumregistry.New(period)
//	if table.ApplyHeartbeat(heartbeat, now) { push(table.Record(heartbeat.Backend)) }
//	for _, id := range table.MarkSilent(now) { push(table.Record(id)) }
package laburnumregistry
