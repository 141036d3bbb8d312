package laburnumoverload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// starved is a model of a gateway whose share of a core comes in pieces: it runs for runTime in each cycle, and serves connections in
// the order of arrival.
type starved struct {
	// backlog is the work of the connections that were accepted and not served, in time of the share.
	backlog time.Duration
	// served and late count the connections that were accepted from onset on.
	served, late, turnedAway int
	// idle is how long it had nothing to do.
	idle time.Duration
}

const (
	starvedCycle, starvedRun = 105 * time.Millisecond, 20 * time.Millisecond
	// starvedWork is what a connection takes of the share, patience how long its caller waits for the beginning of an answer.
	starvedWork, patience = time.Second / 150, 400 * time.Millisecond
	// onset is the time after which three quarters of what is read have to be served.
	onset, playTime = 2 * time.Second, 12 * time.Second
)

// play offers connections at a multiple of what the gateway can serve.
func (s *starved) play(offered float64) {
	gate, timers := newGate()
	begin, next := timers.Now(), timers.Now()
	for now := timers.Now(); now.Sub(begin) < playTime; now = timers.Now() {
		phase := now.Sub(begin) % starvedCycle
		pause := time.Duration(0)
		if phase > starvedRun {
			pause = starvedCycle - phase
		}
		if s.backlog == 0 {
			s.idle += time.Millisecond
		}
		s.backlog = max(0, s.backlog-time.Millisecond)
		timers.lag = s.backlog + pause
		for !next.After(now) {
			next = next.Add(time.Duration(float64(starvedWork) / offered))
			if !gate.Admit() {
				s.turnedAway++
				continue
			}
			s.backlog += starvedWork
			if now.Sub(begin) < onset {
				continue
			}
			if s.backlog+pause > patience {
				s.late++
			} else {
				s.served++
			}
		}
		timers.Advance(time.Millisecond)
	}
}

// Guards against a gateway that goes on for seconds with connections that it can't serve in time after most new ones have begun to come to it.
func TestOnsetOfOverloadIsShort(t *testing.T) {
	for _, offered := range []float64{1.2, 1.5, 2, 4, 9} {
		t.Run(fmt.Sprint(offered), func(t *testing.T) {
			var s starved
			s.play(offered)
			t.Logf("%d served, %d late, %d turned away, idle for %v", s.served, s.late, s.turnedAway, s.idle)
			require.GreaterOrEqual(t, float64(s.served), 0.75*float64(s.served+s.late))
			require.Less(t, s.idle, playTime/2)
		})
	}
}
