// Package laburnumbacklog decides how much of the answers to slow callers a gateway holds, and whose connection is ended if that is too
// much.
//
// # The load it answers
//
// A caller reads slowly, or pauses. Once the kernel's buffers are full the gateway can't pass on more. If it stopped reading from the
// backend server, the answer would stay unread there: the server's slot stays taken, and an engine cuts off an answer that has
// stayed unread for some seconds, so that the caller loses what was ready for it. So the gateway reads on and holds the rest. Without a
// bound, a crowd of slow callers would take the gateway's memory from all others.
//
// # Rules
//
// An answer holds at most MaxAnswer bytes; all answers together share a budget, apart from the first FreeAnswer bytes of each. A writer
// that gets no room waits, as it would without a backlog.
//
// While the budget has room, a connection is ended only after its caller has taken nothing for the time that it gave for its request,
// or its route allows. If the budget is short, the one that holds most for longest is ended, by bytes times time since the caller
// last took any, among those that have taken nothing for MinSilence. A caller that reads is never ended, however slowly.
//
// # Usage
//
//	ledger := laburnumbacklog.New()
//	a := ledger.Begin(timeout, now)
//	n, charge := ledger.Room(a, len(p), budgetLeft)
//	ledger.Hold(a, n)                     // n bytes are held, of which charge count toward the budget
//	charge = ledger.Release(a, n)         // they have been written; charge is returned to the budget
//	ledger.Delivered(a, bytes, now)       // the caller has acknowledged as many bytes in all
//	for _, a := range ledger.Silent(now) { … }
//	victim := ledger.Victim(now)          // if Room granted too little for want of budget
//	charge = ledger.End(a)
//
// A Ledger is not safe for concurrent use.
package laburnumbacklog
