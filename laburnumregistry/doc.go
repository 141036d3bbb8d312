// Package laburnumregistry keeps what is known of backend servers that announce
// themselves by heartbeats. It is pure: time is passed in, and what it returns says
// whether others need to be told.
//
// Heartbeats come late, out of order, through other VMs, and from backend servers
// that have died since. The higher sequence of one identity wins; an identity that
// has said that it leaves never comes back; one that is gone stays known for a
// while, so that a late heartbeat does not bring it back to life.
//
// # Usage
//
//	table := laburnumregistry.New(period)
//	if table.Take(heartbeat, now) { push(table.Record(heartbeat.Backend)) }
//	for _, id := range table.Expire(now) { push(table.Record(id)) }
package laburnumregistry
