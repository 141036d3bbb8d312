// Package laburnumoverload has a VM that gets more connections than its processor or its network link can serve turn some of them away
// unread.
//
// Load pattern: the load balancer hands most new connections of an availability zone, or of all of them, to one gateway, while the
// others are idle. Callers whose connection is closed unread try again elsewhere at once; those whose requests are read and answered
// late, or never, do not. Without a gate, all of them are late: the gateway goes on with requests whose callers have left.
//
// A Gate looks twenty times a second for two signs: how late it is called itself, behind goroutines that wait for the processor, and
// how long after it was accepted the fastest of the new connections brought its first byte, which is how long packets wait on the link. A
// pause of the VM, or of its share of a core, makes single looks late; overload makes all of them late. A look that is overdue is made when
// the next connection is accepted, since timers wait behind the overload too. The share of new connections that are accepted falls fast
// then, and rises slowly beyond the share at which the overload began.
//
// # Usage
//
//	gate := laburnumoverload.NewGate(timers, laburnumoverload.WithOnChange(log))
//	server.ConnState = gate.ConnState
//	ln = laburnumoverload.NewListener(ln, gate.Admit, func() { shed.Inc(1) })
//
// Both are safe for concurrent use.
package laburnumoverload
