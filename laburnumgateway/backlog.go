package laburnumgateway

import (
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbacklog"
	"laburnumlever/laburnumsocket"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// heldCheckPeriod is the interval between looks at what slow callers have taken.
	heldCheckPeriod = 250 * time.Millisecond
	// heldChunk is the size of the pieces, in bytes, in which held answers are kept and freed.
	heldChunk = 4 << 10
	// maxUnsent is how much of an answer, in bytes, the kernel holds behind what the caller's window takes. It would hold megabytes,
	// which no budget counts.
	maxUnsent = 64 << 10
)

// backlogs hold the parts of answers that callers have not taken yet, so that backend servers are read on. A caller that keeps up has
// none.
type backlogs struct {
	timers   laburnumlever.Timers
	logger   log.Logger
	counters *counters
	budget   *bufferBudget

	mu     sync.Mutex
	room   *sync.Cond // what waits for room looks again
	ledger *laburnumbacklog.Ledger
	open   map[*laburnumbacklog.Answer]*backlog
	// allRead is set once a victim was looked for in vain, until the next check.
	allRead bool
	// stopChecks ends the periodic checks, nil while there are none.
	stopChecks func()
}

// backlog is what is held for one caller's connection. The mu of backlogs guards it.
type backlog struct {
	*laburnumbacklog.Answer
	conn *callerConn
	// chunks are the bytes held, without the first written ones.
	chunks  [][]byte
	written int
	// closes and closesWrite are set once the connection is to be closed after the last byte, as a whole or for writing.
	closes, closesWrite bool
}

func newBacklogs(g *Gateway) *backlogs {
	b := &backlogs{
		timers: g.timers, logger: g.logger, counters: g.counters, budget: g.buffers,
		ledger: laburnumbacklog.New(), open: map[*laburnumbacklog.Answer]*backlog{},
	}
	b.room = sync.NewCond(&b.mu)
	return b
}

// heldBytes returns the bytes held for all callers.
func (bs *backlogs) heldBytes() int {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.ledger.Held()
}

// hold takes bytes that the caller's socket does not, and waits while there is no room for them. Errors: *SlowCallerError and those of
// the socket.
func (bs *backlogs) hold(c *callerConn, p []byte) (n int, err error) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	for len(p) > 0 {
		if c.heldErr != nil {
			return n, c.heldErr
		}
		if c.held == nil {
			bs.begin(c)
		}
		taken := bs.take(c.held, p)
		if taken == 0 && (c.held.Full() || !bs.endVictim()) {
			bs.room.Wait()
		}
		n, p = n+taken, p[taken:]
	}
	return n, nil
}

// begin starts a backlog. The caller must hold mu, as for all methods below.
func (bs *backlogs) begin(c *callerConn) {
	now := bs.timers.Now()
	b := &backlog{Answer: bs.ledger.Begin(c.patience, now), conn: c}
	bs.ledger.Delivered(b.Answer, laburnumsocket.Delivered(c.raw), now)
	c.held, bs.open[b.Answer] = b, b
	c.holding.Store(true)
	if bs.stopChecks == nil {
		bs.stopChecks = bs.timers.Every(heldCheckPeriod, func(time.Time) { bs.check() })
	}
	go bs.drain(b, laburnumsocket.NewWriter(c.raw))
}

// take holds as many of the bytes as there is room for, and returns how many.
func (bs *backlogs) take(b *backlog, p []byte) int {
	n, charge := bs.ledger.Room(b.Answer, len(p), bs.budget.left.Load())
	if !bs.budget.take(charge) { // large answers have taken it meanwhile
		n, _ = bs.ledger.Room(b.Answer, len(p), 0)
	}
	bs.ledger.Hold(b.Answer, n)
	b.conn.maxHeld = max(b.conn.maxHeld, b.Held())
	b.append(p[:n])
	return n
}

// append copies bytes behind those that are held.
func (b *backlog) append(p []byte) {
	for len(p) > 0 {
		last := len(b.chunks) - 1
		if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
			b.chunks = append(b.chunks, make([]byte, 0, heldChunk))
			continue
		}
		n := min(len(p), cap(b.chunks[last])-len(b.chunks[last]))
		b.chunks[last], p = append(b.chunks[last], p[:n]...), p[n:]
	}
}

// next returns the first bytes held; none if all have been written.
func (b *backlog) next() []byte {
	if len(b.chunks) == 0 {
		return nil
	}
	return b.chunks[0][b.written:]
}

// advance drops the first bytes held.
func (b *backlog) advance(n int) {
	if b.written += n; b.written == len(b.chunks[0]) {
		b.chunks, b.written = b.chunks[1:], 0
	}
}

// drain writes what is held as the caller takes it, until nothing is left or the connection has ended.
func (bs *backlogs) drain(b *backlog, w *laburnumsocket.Writer) {
	var written int
	var err error
	for {
		p := bs.drained(b, written, err)
		if p == nil {
			return
		}
		written, err = w.Some(p)
	}
}

// drained records the outcome of a write and returns what is written next; nil if nothing is left.
func (bs *backlogs) drained(b *backlog, written int, err error) []byte {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if b.conn.held != b {
		return nil // it has been ended
	}
	if err != nil {
		bs.end(b, heldCallerGone)
		return nil
	}
	if written > 0 {
		bs.budget.give(bs.ledger.Release(b.Answer, written))
		b.advance(written)
		bs.room.Broadcast()
	}
	if p := b.next(); len(p) > 0 {
		return p
	}
	bs.remove(b, heldDelivered)
	b.conn.holding.Store(false)
	if b.closes {
		_ = b.conn.closeNow()
	} else if b.closesWrite {
		_ = b.conn.closeWriteNow()
	}
	return nil
}

// remove frees a backlog.
func (bs *backlogs) remove(b *backlog, outcome heldOutcome) {
	bs.budget.give(bs.ledger.End(b.Answer))
	delete(bs.open, b.Answer)
	b.chunks, b.conn.held = nil, nil
	bs.counters.answersHeld[outcome].Inc(1)
	bs.room.Broadcast()
	if len(bs.open) == 0 {
		bs.stopChecks()
		bs.stopChecks = nil
		bs.counters.heldBytes.Update(0)
	}
}

// end drops a backlog and resets its connection, so that the answer can't be taken for a whole one.
func (bs *backlogs) end(b *backlog, outcome heldOutcome) {
	c, now, held := b.conn, bs.timers.Now(), b.Held()
	bs.remove(b, outcome)
	c.heldErr = &SlowCallerError{Outcome: outcome, Held: held, Silence: b.Silence(now)}
	if outcome != heldCallerGone {
		_ = level.Info(bs.logger).Log("event", laburnumlever.EventSlowCallerEnded, "request-id", c.heldFor, "reason", outcome,
			"held-bytes", held, "most-bytes", b.MaxHeld(), "silent-ms", millis(b.Silence(now)), "all-bytes", bs.ledger.Held())
	}
	laburnumsocket.ResetOnClose(c.Conn)
	_ = c.closeNow()
}

// endVictim makes room in the budget, and reports whether it has.
func (bs *backlogs) endVictim() bool {
	now := bs.timers.Now()
	for !bs.allRead {
		victim := bs.ledger.Victim(now)
		if victim == nil {
			bs.allRead = true
			break
		}
		b := bs.open[victim]
		bs.ledger.Delivered(victim, laburnumsocket.Delivered(b.conn.raw), now)
		if victim.Silence(now) >= laburnumbacklog.MinSilence {
			bs.end(b, heldBudget)
			return true
		}
	}
	return false
}

// check ends the connections of callers that take nothing any more.
func (bs *backlogs) check() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	now := bs.timers.Now()
	for _, b := range bs.open {
		bs.ledger.Delivered(b.Answer, laburnumsocket.Delivered(b.conn.raw), now)
	}
	for _, a := range bs.ledger.Silent(now) {
		bs.end(bs.open[a], heldSilence)
	}
	bs.counters.heldBytes.Update(float64(bs.ledger.Held()))
	bs.allRead = false
	bs.room.Broadcast() // time passes for victims, and the budget is shared
}

// endAll drops what is held for all callers.
func (bs *backlogs) endAll(outcome heldOutcome) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	for _, b := range bs.open {
		bs.end(b, outcome)
	}
}

// closeLater has a connection closed once the caller has taken all that is held for it, and reports whether anything is.
func (bs *backlogs) closeLater(c *callerConn, writeOnly bool) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if c.held == nil {
		return false
	}
	c.held.closes = c.held.closes || !writeOnly
	c.held.closesWrite = true
	return true
}
