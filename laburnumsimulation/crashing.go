package laburnumsimulation

import (
	"encoding/binary"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumquarantine"
)

const (
	// crashDelay is the time from the first token of a crashing request to the crash of its engine,
	// crashDownTime the time until the engine is up again.
	crashDelay    = 50 * time.Millisecond
	crashDownTime = 3 * time.Second
	// crashProbeTime is the time in which a gateway tells a crash from a broken connection.
	crashProbeTime = 30 * time.Millisecond
	// contactTime is the time after which all gateways must know a crashing request, and
	// crashesBorne the number of its crashes from which the time counts.
	contactTime  = 3 * time.Second
	crashesBorne = 3
)

// crashingCaller repeats a request that crashes the engines that run it.
type crashingCaller struct {
	sim   *simulation
	class int
	model int
	id    uint64
	pause time.Duration
	until time.Duration
	// crashes is the number of engines that it has crashed, knownAt the time from which gateways
	// must know it.
	crashes int
	knownAt time.Time
	// lateSends is the number of times that it was sent to an engine after knownAt.
	lateSends int
}

// startCrashing starts the callers of an EventCrashingRequests.
func (c *workload) startCrashing(ev Event) {
	class := 0
	for i, cl := range c.sim.scenario.Classes {
		if cl.Name == ev.Class {
			class = i
		}
	}
	for range max(1, ev.Count) {
		caller := &crashingCaller{
			sim: c.sim, class: class, model: c.sampleModel(class), id: c.nextID(), pause: time.Duration(ev.Every),
			until: time.Duration(ev.At) + time.Duration(ev.For),
		}
		c.crashing = append(c.crashing, caller)
		caller.send()
	}
}

// nextID numbers requests by content: repeats of a crashing one have the same number.
func (c *workload) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// send sends the request once, from a random zone.
func (c *crashingCaller) send() {
	if c.sim.elapsed() >= c.until {
		return
	}
	q := c.sim.workload.newRequest(c.class)
	q.model, q.adapter, q.id, q.crashing = c.model, "", c.id, c
	q.tries = q.class.Retries // no retry of its own
	q.submit()
}

// attemptEnded has the caller send the request again after its pause.
func (c *crashingCaller) attemptEnded() {
	wait := c.pause/2 + time.Duration(c.sim.workload.random.Int64N(int64(c.pause)+1))
	c.sim.after(wait, c.send)
}

// begun crashes the engine that has begun to run the request.
func (c *crashingCaller) begun(e *engine) {
	incarnation := e.incarnation
	c.sim.after(crashDelay, func() {
		if !e.up || e.incarnation != incarnation {
			return
		}
		c.sim.outcome.Crashes++
		if c.crashes++; c.crashes == crashesBorne {
			c.knownAt = c.sim.now().Add(contactTime)
		}
		e.crash(false)
		c.sim.after(crashDownTime, e.restart)
	})
}

// sent records that a gateway sent the request to an engine.
func (c *crashingCaller) sent() {
	if !c.knownAt.IsZero() && c.sim.now().After(c.knownAt) {
		c.lateSends++
		c.sim.outcome.LateRepeats = max(c.sim.outcome.LateRepeats, c.lateSends)
	}
}

// digest returns the digest of the request's content.
func (q *request) digest() laburnumlever.RequestDigest {
	var d laburnumlever.RequestDigest
	binary.BigEndian.PutUint64(d[:], q.id)
	return d
}

// quarantineState returns what the gateway's list of crashing requests says of a request.
func (g *gateway) quarantineState(q *request) laburnumquarantine.State {
	if g.sim.policy.servesCrashing || g.quarantine.Empty() {
		return laburnumquarantine.Cleared
	}
	return g.quarantine.State(q.digest(), g.sim.now())
}

// refusesCrashing reports whether the gateway refuses the request as one that crashes engines.
func (g *gateway) refusesCrashing(q *request) bool {
	if !g.quarantineState(q).Refused() {
		return false
	}
	if g.quarantine.Refuse(q.digest(), g.sim.now()) {
		g.reportCrashing(laburnumquarantine.Report{Refused: []laburnumlever.RequestDigest{q.digest()}}, 0)
	}
	return true
}

// reportBroken reports a request whose engine ended the connection, if the engine has crashed.
func (g *gateway) reportBroken(q *request, e *engine) {
	if e.up {
		return
	}
	sighting := laburnumquarantine.Sighting{
		Crash: laburnumquarantine.Crash{Backend: e.id, Incarnation: e.incarnation}, Digest: q.digest(),
	}
	g.reportCrashing(laburnumquarantine.Report{Sightings: []laburnumquarantine.Sighting{sighting}}, crashProbeTime)
}

func (g *gateway) reportCrashing(r laburnumquarantine.Report, delay time.Duration) {
	g.sim.after(delay+g.sim.link(g.zone, ""), func() { g.sim.control.receiveCrashes(r) })
}

// receiveCrashes adds a gateway's report on crashing requests, and publishes what follows from it.
func (c *control) receiveCrashes(r laburnumquarantine.Report) {
	c.detector.Add(r, c.sim.now())
	if changes := c.detector.Changes(c.sim.now()); len(changes) > 0 {
		c.quarantine = append(c.quarantine, changes...)
		c.publisher.Trigger()
	}
}
