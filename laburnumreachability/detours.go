package laburnumreachability

import (
	"maps"
	"slices"
	"time"
)

const (
	// minAskPause and maxAskPause bound the time between two questions for one server; it doubles with each in vain, since
	// most servers that accept no connection have failed.
	minAskPause, maxAskPause = 2 * time.Second, 8 * time.Second
	// askMemory is how long a question in vain counts.
	askMemory = 30 * time.Second
	// failureTime is how long a failure counts, minFailures how many raise a question: one may be the server's.
	failureTime = 5 * time.Second
	minFailures = 2
	// maxAsking is the number of servers that are asked for at once.
	maxAsking = 4
)

// Detours are the servers that this VM reaches only through other VMs although its links to others work. The zero value
// is not usable; see NewDetours.
type Detours struct {
	servers map[string]*detour
	// failures are those since a server was last heard.
	failures map[string]failures
	asking   int
}

type failures struct {
	n           int
	first, last time.Time
}

// detour is a server that has failed for this VM.
type detour struct {
	// open is set while connections go through other VMs.
	open bool
	// askedAt is when it was last asked for, pause the time until the next question.
	askedAt time.Time
	pause   time.Duration
	// probedAt is when an open one was last probed directly.
	probedAt time.Time
}

// NewDetours returns none.
func NewDetours() *Detours {
	return &Detours{servers: map[string]*detour{}, failures: map[string]failures{}}
}

// Heard records that a part of an answer was received from a server on a direct connection opened at a time. Connections
// from before the first failure prove nothing: they may live on while new ones are refused.
func (d *Detours) Heard(address string, openedAt time.Time) {
	if len(d.failures) > 0 && openedAt.After(d.failures[address].first) {
		delete(d.failures, address)
	}
	if e := d.servers[address]; e != nil && !e.open && openedAt.After(e.askedAt) {
		delete(d.servers, address) // questions in vain were about a failure that is over
	}
}

// Failed records that a direct connection to a server could not be opened, was broken, or brought nothing. It reports
// whether the server is to be probed now, directly and through another VM; Probed must follow.
func (d *Detours) Failed(address string, now time.Time) bool {
	f := d.failures[address]
	if f.n == 0 {
		maps.DeleteFunc(d.failures, func(_ string, f failures) bool { return now.Sub(f.last) >= failureTime })
	}
	if now.Sub(f.last) >= failureTime {
		f = failures{first: now}
	}
	f.n, f.last = f.n+1, now
	d.failures[address] = f
	return f.n >= minFailures && d.ask(address, now)
}

func (d *Detours) ask(address string, now time.Time) bool {
	e := d.servers[address]
	if d.asking >= maxAsking || e != nil && (e.open || now.Sub(e.askedAt) < e.pause) {
		return false
	}
	if e == nil {
		maps.DeleteFunc(d.servers, func(_ string, e *detour) bool { return !e.open && now.Sub(e.askedAt) >= askMemory })
		e = &detour{}
		d.servers[address] = e
	}
	e.askedAt, e.pause = now, min(maxAskPause, max(minAskPause, 2*e.pause))
	d.asking++
	return true
}

// Probed applies the probe, and reports whether connections to the server go through other VMs from now on.
func (d *Detours) Probed(p Probe, now time.Time) bool {
	d.asking--
	e := d.servers[p.Address]
	if e == nil || p.Direct || !p.Reached {
		if e != nil && !p.Helped {
			e.pause = minAskPause // nobody was asked
		}
		return false
	}
	e.open, e.pause, e.probedAt = true, 0, now
	delete(d.failures, p.Address)
	return true
}

// Has reports whether connections to a server go through other VMs.
func (d *Detours) Has(address string) bool {
	e := d.servers[address]
	return e != nil && e.open
}

// Close ends a detour, and reports whether there was one.
func (d *Detours) Close(address string) bool {
	if !d.Has(address) {
		return false
	}
	d.servers[address].open = false
	return true
}

// Open returns the servers with detours.
func (d *Detours) Open() []string {
	var open []string
	for address, e := range d.servers {
		if e.open {
			open = append(open, address)
		}
	}
	return open
}

// Due returns up to n servers with detours to be probed directly, those probed longest ago first.
func (d *Detours) Due(n int, now time.Time) []string {
	open := d.Open()
	slices.SortFunc(open, func(a, b string) int { return d.servers[a].probedAt.Compare(d.servers[b].probedAt) })
	open = open[:min(n, len(open))]
	for _, address := range open {
		d.servers[address].probedAt = now
	}
	return open
}
