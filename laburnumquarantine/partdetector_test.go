package laburnumquarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumquarantine"
)

// partCrash reports the crash of a server with requests that have some parts; answered is when each was last answered.
func partCrash(d *laburnumquarantine.PartDetector, server int, now time.Time, answered map[int]time.Time, parts ...int) {
	var r laburnumquarantine.Report
	for _, id := range parts {
		r.Parts = append(r.Parts, laburnumquarantine.PartSighting{
			Crash: laburnumquarantine.Crash{Backend: laburnumlever.BackendID(fmt.Sprint("i-", server))}, Part: modelPart(id),
			Requests: 1, CrashedAt: now, AnsweredAt: answered[id],
		})
	}
	d.Add(r, now)
}

// partStates returns the states of the changed parts.
func partStates(d *laburnumquarantine.PartDetector, now time.Time) map[int]laburnumquarantine.State {
	states := map[int]laburnumquarantine.State{}
	for _, e := range d.Changes(now) {
		states[int(e.Part.ID)] = e.State
	}
	return states
}

// refusePart has a part refused at start, after three crashes.
func refusePart(t *testing.T, d *laburnumquarantine.PartDetector, id int) {
	for server := range 3 {
		partCrash(d, server, start, nil, id)
	}
	require.Equal(t, quarantined, partStates(d, start)[id])
}

// Guards against a part that is refused for good although it was repaired, or never crashed a server.
func TestAnswerToATrialReleasesAPart(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	refusePart(t, d, 7)
	require.Equal(t, 5*time.Second, d.TrialIn(modelPart(7), start))
	trial := start.Add(5 * time.Second)
	require.Zero(t, d.TrialIn(modelPart(7), trial))
	d.Add(laburnumquarantine.Report{Answers: []laburnumquarantine.PartAnswer{{Part: modelPart(7), AnsweredAt: trial}}}, trial)
	require.Equal(t, map[int]laburnumquarantine.State{7: cleared}, partStates(d, trial))
}

// liftPart reports at now that an operator had the part served again.
func liftPart(d *laburnumquarantine.PartDetector, id int, lifted, now time.Time) {
	d.Add(laburnumquarantine.Report{Answers: []laburnumquarantine.PartAnswer{{Part: modelPart(id), AnsweredAt: lifted, Lifted: true}}}, now)
}

// Guards against a lifted part that is refused again for crashes from before the lift, which gateways take seconds to confirm.
func TestLateCrashesRefuseNoLiftedPart(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	refusePart(t, d, 7)
	lifted := start.Add(time.Second)
	liftPart(d, 7, lifted, lifted)
	require.Equal(t, map[int]laburnumquarantine.State{7: cleared}, partStates(d, lifted))
	for server := range 3 {
		partCrash(d, 10+server, lifted.Add(-time.Millisecond), nil, 7)
	}
	require.Empty(t, partStates(d, lifted.Add(time.Second)))
	later := lifted.Add(2 * time.Minute)
	for server := range 3 {
		partCrash(d, 20+server, later, nil, 7)
	}
	require.Equal(t, quarantined, partStates(d, later)[7], "it crashes servers since")
}

// Guards against a part that is refused once another is lifted, as it rode along on the same servers.
func TestLiftRefusesNoPartThatRodeAlong(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	answered := map[int]time.Time{8: start.Add(-time.Second)}
	for server := range 6 {
		partCrash(d, server, start, answered, 7, 8)
	}
	require.Equal(t, map[int]laburnumquarantine.State{7: quarantined, 8: suspect}, partStates(d, start))
	lifted := start.Add(2 * laburnumquarantine.KnownPartDelay)
	liftPart(d, 7, lifted, lifted)
	require.Equal(t, map[int]laburnumquarantine.State{7: cleared, 8: cleared}, partStates(d, lifted))
	for server := range 6 {
		partCrash(d, 10+server, lifted.Add(-time.Millisecond), answered, 8, 7)
		partCrash(d, 10+server, lifted.Add(-time.Millisecond), answered, 8) // another gateway's request
	}
	require.Empty(t, partStates(d, lifted.Add(time.Minute)))
	for server := range 6 {
		partCrash(d, 20+server, lifted.Add(time.Minute), nil, 8)
	}
	require.Equal(t, quarantined, partStates(d, lifted.Add(time.Minute+laburnumquarantine.KnownPartDelay))[8], "it crashes servers since")
}

// Guards against a control VM that a gateway teaches a part which was lifted before, in whichever order it hears of the two.
func TestGatewaysTeachNoLiftedPart(t *testing.T) {
	refusing := laburnumquarantine.NewPartDetector()
	for server := range 3 {
		partCrash(refusing, server, start, nil, 7)
	}
	list := laburnumquarantine.NewList()
	list.Apply("10.0.0.1:7000", 1, refusing.Changes(start), start)
	list.Apply("10.0.0.2:7000", 2, nil, start)
	lifted, now := start.Add(time.Second), start.Add(2*time.Second)
	teach := laburnumquarantine.Report{Listed: list.Missing("10.0.0.2:7000", now)}
	require.Len(t, teach.Listed, 1)

	for _, knew := range []bool{false, true} {
		d := laburnumquarantine.NewPartDetector()
		if knew {
			refusePart(t, d, 7)
		}
		liftPart(d, 7, lifted, lifted)
		d.Changes(lifted)
		d.Add(teach, now)
		require.Empty(t, partStates(d, now), "lifted first, refused before that: %t", knew)
	}
	d := laburnumquarantine.NewPartDetector()
	d.Add(teach, now)
	require.Equal(t, quarantined, partStates(d, now)[7])
	liftPart(d, 7, lifted, now.Add(time.Second))
	require.Equal(t, map[int]laburnumquarantine.State{7: cleared}, partStates(d, now.Add(time.Second)), "taught first")

	teach.Listed[0].CrashedAgo = 0
	d = laburnumquarantine.NewPartDetector()
	d.Add(teach, now)
	require.Equal(t, quarantined, partStates(d, now)[7], "by a gateway of an earlier build")
}

// Guards against trials that end as many servers as the part did.
func TestTrialsOfAPartBecomeRare(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	refusePart(t, d, 7)
	now, crashes := start, 3
	for now.Sub(start) < 24*time.Hour {
		now = now.Add(d.TrialIn(modelPart(7), now))
		partCrash(d, crashes, now, nil, 7)
		d.Changes(now)
		d.Add(laburnumquarantine.Report{Refused: []laburnumlever.RequestDigest{modelPart(7).Digest()}}, now)
		crashes++
	}
	require.LessOrEqual(t, crashes, 3+8, "in a day")
}

// Guards against a part that is refused since all servers lost power at once, before any could answer it.
func TestLossOfPowerOfAllServersRefusesNoPart(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	answered := map[int]time.Time{7: start.Add(-time.Millisecond)}
	for server := range 18 {
		partCrash(d, server, start, answered, 7)
	}
	require.Equal(t, suspect, partStates(d, start)[7])
	back := start.Add(900 * time.Millisecond)
	d.Add(laburnumquarantine.Report{Answers: []laburnumquarantine.PartAnswer{{Part: modelPart(7), AnsweredAt: back}}}, back)
	require.Equal(t, map[int]laburnumquarantine.State{7: cleared}, partStates(d, back))

	partCrash(d, 20, start, answered, 7)
	require.Empty(t, partStates(d, start.Add(2*time.Second)), "a report that was late")
}

// Guards against a part that nobody can be served with for long once no server is left to answer it.
func TestKnownPartIsTriedAtOnce(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	for server := range 18 {
		partCrash(d, server, start, map[int]time.Time{7: start.Add(-time.Millisecond)}, 7)
	}
	d.Changes(start)
	later := start.Add(laburnumquarantine.KnownPartDelay)
	require.Equal(t, quarantined, partStates(d, later)[7])
	require.Zero(t, d.TrialIn(modelPart(7), later))
}

// Guards against evidence that a caller makes up against a part of another: an answer to anybody counts.
func TestAnswersBetweenCrashesKeepAPartServed(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	now := start
	for server := range 40 {
		partCrash(d, server, now, map[int]time.Time{7: now.Add(-100 * time.Millisecond)}, 7, 1000+server)
		now = now.Add(500 * time.Millisecond)
		require.NotEqual(t, quarantined, partStates(d, now)[7])
	}
}

// Guards against a part that is refused since it rides along with one that crashes servers, before anybody has answered it.
func TestPartThatRidesAlongIsServed(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	for server := range 4 {
		partCrash(d, server, start, nil, 7, 8)
		partCrash(d, server, start, nil, 8) // another gateway's request
	}
	states := partStates(d, start)
	require.Equal(t, quarantined, states[7])
	require.NotEqual(t, quarantined, states[8])
	for server := range 3 {
		partCrash(d, 10+server, start, nil, 8)
	}
	require.Equal(t, quarantined, partStates(d, start)[8], "servers crash without the other")
}

// Guards against one service's engines that keep another service from a part, or from the evidence on it.
func TestPartsOfTwoServicesAreApart(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	refusePart(t, d, 7)
	other := laburnumquarantine.Part{Service: "other", ID: 7}
	require.NotEqual(t, modelPart(7).Digest(), other.Digest())
	require.Zero(t, d.TrialIn(other, start))
	d.Add(laburnumquarantine.Report{Answers: []laburnumquarantine.PartAnswer{{Part: other, AnsweredAt: start.Add(time.Second)}}}, start.Add(time.Second))
	require.NotZero(t, d.TrialIn(modelPart(7), start.Add(time.Second)))
}

// Guards against a part that ends servers again after a restart of the control VMs, or of all but the gateways.
func TestRestartedControlVMLearnsRefusedParts(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	for server := range 3 {
		partCrash(d, server, start, nil, 7)
	}
	list := laburnumquarantine.NewList()
	list.Apply("10.0.0.1:7000", 1, d.Changes(start), start)
	require.Equal(t, quarantined, list.State(modelPart(7).Digest(), start))
	list.Apply("10.0.0.1:7000", 2, nil, start)
	missing := list.Missing("10.0.0.1:7000", start)
	require.Len(t, missing, 1)
	require.Equal(t, modelPart(7), *missing[0].Part)

	restarted := laburnumquarantine.NewPartDetector()
	restarted.Add(laburnumquarantine.Report{Listed: missing}, start)
	require.Equal(t, map[int]laburnumquarantine.State{7: quarantined}, partStates(restarted, start))
	requests := laburnumquarantine.NewDetector()
	requests.Add(laburnumquarantine.Report{Listed: missing}, start)
	require.Empty(t, requests.Changes(start), "a part is no request")
}

// Guards against a part that is served again at gateways which see no request with it for an hour, while others refuse it.
func TestRefusedPartIsListedAgainWhileItIsSent(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	refusePart(t, d, 7)
	now, listed := start, 0
	for now.Sub(start) < 3*laburnumquarantine.Retention {
		now = now.Add(time.Minute)
		d.Add(laburnumquarantine.Report{Refused: []laburnumlever.RequestDigest{modelPart(7).Digest()}}, now)
		listed += len(d.Changes(now))
	}
	require.InDelta(t, 12, listed, 1, "four times an hour")
	require.Equal(t, map[int]laburnumquarantine.State{7: cleared}, partStates(d, now.Add(laburnumquarantine.Retention+time.Minute)))
}

// Guards against ages in reports that depend on when they are sent, or on the clocks of two VMs.
func TestReportsCarryAges(t *testing.T) {
	sent := laburnumquarantine.Report{Parts: []laburnumquarantine.PartSighting{{
		Part: modelPart(7), CrashedAt: start, AnsweredAt: start.Add(-time.Second),
	}}}
	text, err := json.Marshal(sent.Sent(start.Add(3 * time.Second)))
	require.NoError(t, err)
	var received laburnumquarantine.Report
	require.NoError(t, json.Unmarshal(text, &received))
	there := start.Add(time.Hour)
	received = received.Received(there)
	require.Equal(t, there.Add(-3*time.Second), received.Parts[0].CrashedAt)
	require.Equal(t, there.Add(-4*time.Second), received.Parts[0].AnsweredAt)
}

// Guards against a control VM whose memory grows with the number of parts.
func TestPartEvidenceIsBounded(t *testing.T) {
	d := laburnumquarantine.NewPartDetector()
	for server := range 600 {
		var parts []int
		for i := range 24 {
			parts = append(parts, 100*server+i)
		}
		partCrash(d, server, start.Add(time.Duration(server)*time.Millisecond), nil, parts...)
	}
	parts, _ := d.Size()
	require.LessOrEqual(t, parts, 4096)
}

// BenchmarkPartChanges measures a verdict with the most evidence that is kept.
func BenchmarkPartChanges(b *testing.B) {
	d := laburnumquarantine.NewPartDetector()
	for server := range 400 {
		var parts []int
		for i := range 12 {
			parts = append(parts, 100*server+i, 100*(server/2)+50+i)
		}
		partCrash(d, server, start, nil, parts...)
	}
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		d.Changes(now)
	}
}
