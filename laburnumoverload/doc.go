// Package laburnumoverload has a VM that gets more connections than its processor can serve turn some of them away unread.
//
// Load pattern: the load balancer hands most new connections of an availability zone, or of all of them, to one gateway, while the
// others are idle. Callers whose connection is closed unread try again elsewhere at once; those whose requests are read and answered
// late, or never, do not.
//
// A Meter measures how late the process gets to run: a periodic function is called late when many goroutines wait for the processor.
// A pause of the whole VM, or of its share of a core, makes single calls late; overload makes all of them late. A Listener closes the
// connections that are opened meanwhile.
//
// # Usage
//
//	meter := laburnumoverload.NewMeter(timers)
//	ln = laburnumoverload.NewListener(ln, meter.Overloaded, func() { shed.Inc(1) })
//
// Both are safe for concurrent use.
package laburnumoverload
