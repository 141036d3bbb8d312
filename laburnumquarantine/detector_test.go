package laburnumquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumquarantine"
)

var start = time.Unix(1_000_000, 0)

func digest(name string) laburnumlever.RequestDigest {
	return laburnumlever.NewRequestDigest("POST", "quotes.example", name, nil)
}

// crash reports that a server crashed with the named requests.
func crash(d *laburnumquarantine.Detector, server int, now time.Time, requests ...string) {
	var r laburnumquarantine.Report
	for _, name := range requests {
		r.Sightings = append(r.Sightings, laburnumquarantine.Sighting{
			Crash: laburnumquarantine.Crash{Backend: laburnumlever.BackendID(fmt.Sprintf("i-%d", server))}, Digest: digest(name),
		})
	}
	d.Add(r, now)
}

// states returns the changed states by name.
func states(d *laburnumquarantine.Detector, now time.Time, names ...string) map[string]laburnumquarantine.State {
	listed := map[laburnumlever.RequestDigest]laburnumquarantine.State{}
	for _, e := range d.Changes(now) {
		listed[e.Digest] = e.State
	}
	out := map[string]laburnumquarantine.State{}
	for _, name := range names {
		if state, ok := listed[digest(name)]; ok {
			out[name] = state
		}
	}
	return out
}

type stateByName = map[string]laburnumquarantine.State

const (
	suspect     = laburnumquarantine.Suspect
	held        = laburnumquarantine.Held
	quarantined = laburnumquarantine.Quarantined
	cleared     = laburnumquarantine.Cleared
)

// Guards against a request that crashes server after server, and against condemning those beside it for one crash.
func TestRequestOnThreeCrashedServersIsHeld(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	crash(d, 1, start, "poison", "a", "b")
	require.Empty(t, states(d, start, "poison", "a", "b"), "one crash condemns nobody")
	crash(d, 2, start, "poison", "a")
	require.Equal(t, stateByName{"poison": suspect, "a": suspect}, states(d, start, "poison", "a", "b"))
	crash(d, 3, start, "poison", "c")
	require.Equal(t, stateByName{"poison": held}, states(d, start, "poison", "a", "b", "c"))
	crash(d, 3, start, "poison")
	require.Empty(t, states(d, start, "poison"), "the same crash counts once")
	require.Equal(t, []laburnumlever.BackendID{"i-1", "i-2", "i-3"}, d.Backends(digest("poison")))
}

// Guards against refusing an innocent request for long because its retries followed a crashing one from server to server.
func TestHeldRequestIsServedAgainUnlessItIsRepeated(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	for server := range 3 {
		crash(d, server, start, "poison", "innocent")
	}
	require.Equal(t, stateByName{"poison": held, "innocent": held}, states(d, start, "poison", "innocent"))
	later := start.Add(laburnumquarantine.HoldTime)
	d.Add(laburnumquarantine.Report{Refused: []laburnumlever.RequestDigest{digest("poison")}}, later)
	require.Equal(t, stateByName{"poison": held, "innocent": suspect}, states(d, later, "poison", "innocent"))
	crash(d, 3, later, "innocent")
	require.Equal(t, stateByName{"innocent": quarantined}, states(d, later, "innocent"))
}

// Guards against a request that crashes a server each time that its hold is over.
func TestRequestThatCrashesAServerAfterItsHoldIsQuarantined(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	for server := range 3 {
		crash(d, server, start, "poison")
	}
	later := start.Add(laburnumquarantine.HoldTime)
	require.Equal(t, stateByName{"poison": suspect}, states(d, later, "poison"))
	crash(d, 3, later, "poison")
	require.Equal(t, stateByName{"poison": quarantined}, states(d, later, "poison"))
	require.Empty(t, states(d, later.Add(laburnumquarantine.Retention-time.Second), "poison"))
}

// Guards against condemning requests while servers crash for another reason, and against never condemning any then.
func TestUnrelatedCrashesCallForMoreEvidence(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	for server := range 20 {
		crash(d, 100+server, start, fmt.Sprint("other-", server))
	}
	for server := range 4 {
		crash(d, server, start, "request")
	}
	require.Equal(t, stateByName{"request": suspect}, states(d, start, "request"))
	crash(d, 4, start, "request")
	require.Equal(t, stateByName{"request": held}, states(d, start, "request"))
	crash(d, 5, start, "request")
	require.Equal(t, stateByName{"request": quarantined}, states(d, start, "request"))
}

// Guards against condemning a request that is polled all the time for ordinary crashes beside it.
func TestAnsweredRequestIsCleared(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	crash(d, 1, start, "polled")
	crash(d, 2, start, "polled")
	require.Equal(t, suspect, states(d, start, "polled")["polled"])
	d.Add(laburnumquarantine.Report{Completed: []laburnumlever.RequestDigest{digest("polled")}}, start)
	crash(d, 3, start, "polled")
	require.Equal(t, stateByName{"polled": cleared}, states(d, start, "polled"))
}

func TestQuarantineEndsAfterRetentionWithoutRepeats(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	for server := range 4 {
		crash(d, server, start, "poison")
	}
	require.Equal(t, quarantined, states(d, start, "poison")["poison"])
	later := start.Add(laburnumquarantine.Retention)
	d.Add(laburnumquarantine.Report{Refused: []laburnumlever.RequestDigest{digest("poison")}}, later)
	require.Equal(t, stateByName{"poison": quarantined}, states(d, later, "poison"), "listed again for gateways that see no repeat")
	require.Empty(t, states(d, later.Add(laburnumquarantine.Retention-time.Second), "poison"))
	require.Equal(t, stateByName{"poison": cleared}, states(d, later.Add(laburnumquarantine.Retention+time.Second), "poison"))
}

// Guards against a restarted control VM that forgets the quarantine of the whole fleet.
func TestControlVMAdoptsQuarantineFromGateways(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	d.Add(laburnumquarantine.Report{Listed: append(entry("poison", quarantined), entry("other", held)...)}, start)
	require.Equal(t, stateByName{"poison": quarantined, "other": held}, states(d, start, "poison", "other"))
	require.Equal(t, stateByName{"other": suspect}, states(d, start.Add(laburnumquarantine.HoldTime), "poison", "other"))
	d.Add(laburnumquarantine.Report{Completed: []laburnumlever.RequestDigest{digest("poison")}}, start)
	require.Equal(t, stateByName{"poison": cleared}, states(d, start, "poison"))
}

// Guards against a control VM whose memory grows with the number of distinct requests, and against losing the evidence of repeats among them.
func TestEvidenceIsBounded(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	crash(d, 0, start, "poison")
	crash(d, 1, start, "poison")
	now := start
	for server := 2; server < 2000; server++ {
		now = now.Add(10 * time.Millisecond)
		var names []string
		for i := range 24 {
			names = append(names, fmt.Sprintf("request-%d-%d", server, i))
		}
		crash(d, server, now, names...)
	}
	for server := 2001; server < 2004; server++ {
		crash(d, server, now, "poison")
	}
	require.Equal(t, held, states(d, now, "poison")["poison"])
	requests, crashes := d.Size()
	require.LessOrEqual(t, requests, 16384)
	require.LessOrEqual(t, crashes, requests)

	for i := range 5000 {
		name := fmt.Sprintf("poison-%d", i)
		for server := range 3 {
			crash(d, 10_000+3*i+server, now, name)
		}
	}
	listed := 0
	for _, e := range d.Changes(now) {
		if e.State != cleared {
			listed++
		}
	}
	require.LessOrEqual(t, listed, 1024)
}

// BenchmarkChanges measures a verdict with the most evidence that is kept.
func BenchmarkChanges(b *testing.B) {
	d := laburnumquarantine.NewDetector()
	for server := range 600 {
		var names []string
		for i := range 24 {
			names = append(names, fmt.Sprintf("request-%d-%d", server, i), fmt.Sprintf("request-%d-%d", server/2, i))
		}
		crash(d, server, start, names...)
	}
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		d.Changes(now)
	}
}

// Guards against copies of one request that wait for the next server and end it together, since only servers are counted.
func TestCopiesOnOneServerAreTriedAlone(t *testing.T) {
	d := laburnumquarantine.NewDetector()
	now := time.Unix(1_000_000, 0)
	crash := laburnumquarantine.Crash{Backend: "i-1"}
	copies := laburnumlever.NewRequestDigest("POST", "quotes.example", "/quote/x", []byte("poison"))
	single := laburnumlever.NewRequestDigest("POST", "quotes.example", "/quote/x", []byte("oak"))
	report := laburnumquarantine.Report{Sightings: []laburnumquarantine.Sighting{{Crash: crash, Digest: copies}, {Crash: crash, Digest: copies}, {Crash: crash, Digest: single}}}
	d.Add(report, now)
	require.Empty(t, d.Changes(now))
	d.Add(laburnumquarantine.Report{Sightings: report.Sightings[:1]}, now)
	changes := d.Changes(now)
	require.Equal(t, []laburnumquarantine.Entry{{Digest: copies, State: laburnumquarantine.Suspect, Crashes: 1, Alone: true}}, changes)

	list := laburnumquarantine.NewList()
	list.Apply("10.0.0.1:7000", 1, changes, now)
	require.True(t, list.Alone(copies))
	require.False(t, list.Alone(single))
	d.Add(laburnumquarantine.Report{Completed: []laburnumlever.RequestDigest{copies}}, now)
	list.Apply("10.0.0.1:7000", 1, d.Changes(now), now)
	require.False(t, list.Alone(copies), "a server has answered it")
}

// Guards against two copies of a suspected request at once, and against a trial that outlives its gateway.
func TestOneTrialAtATime(t *testing.T) {
	trials := laburnumquarantine.NewTrials()
	now := time.Unix(1_000_000, 0)
	ask := laburnumquarantine.TrialRequest{Digest: laburnumlever.RequestDigest{1}, Hold: laburnumlever.Duration(time.Second)}
	first := trials.Begin(ask, now)
	require.True(t, first.Granted)
	require.False(t, trials.Begin(ask, now.Add(999*time.Millisecond)).Granted)
	second := trials.Begin(ask, now.Add(time.Second))
	require.True(t, second.Granted)
	trials.End(laburnumquarantine.TrialEnd{Digest: ask.Digest, Trial: first.Trial})
	require.False(t, trials.Begin(ask, now.Add(time.Second)).Granted, "the end of an earlier trial")
	trials.End(laburnumquarantine.TrialEnd{Digest: ask.Digest, Trial: second.Trial})
	require.True(t, trials.Begin(ask, now.Add(time.Second)).Granted)
}
