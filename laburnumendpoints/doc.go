// Package laburnumendpoints keeps the endpoint state of backend servers on a control VM's disk.
//
// Load pattern: all VMs lose power or are killed at once, while the backend servers run on. Every caller returns within a second, but a
// gateway knows a backend server only once it has announced itself again, which takes a heartbeat period for the last of them. With
// the state that the control VMs had shortly before, gateways serve as soon as they have started.
//
// The state is a hint: servers may have stopped since, hold other models or have lost their address to another server. Gateways take
// it only while they start, name the server that they expect in each request, and drop the servers that don't announce themselves.
//
// # Usage
//
//	store := laburnumendpoints.New(folder)
//	records, err := store.Load() // at the start
//	err = store.Save(records)    // now and then, while they change
package laburnumendpoints
