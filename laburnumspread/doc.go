// Package laburnumspread brings each new revision of the catalogue to every VM.
//
// # Usage
//
//	s := laburnumspread.New(loop, timers, peers, membership.VMs)
//	s.OnNewer(publishView) // on the control thread
//	s.Start()
//	s.Offer(catalogue) // a voter: each revision that the log has committed
//	catalogue, ok := s.Catalogue()
//
// # How a revision spreads
//
// A VM that gets a newer revision offers its number at once to a few VMs chosen at random
// and sends the catalogue itself only to those that say they lack it; they do the
// same. With every VM offering to four, about one in fifty is missed; for these, and
// for whoever was cut off, every VM also compares numbers with a random other once a
// second and pushes or pulls, whichever side is behind.
//
// A VM that has said that it wants a revision tells further offers that it is
// coming, for a short time. Without that, at a busy moment each VM would be sent the
// same hundreds of kilobytes several times.
//
// # What always holds
//
// The revision held only grows, whatever order messages come in: a VM of a cut-off
// zone keeps its last one and goes on with it, and after the heal an old one sent late
// changes nothing. A VM that starts without any asks until one answers; until
// then Catalogue says that there is none.
package laburnumspread
