package laburnumgateway

import (
	"strconv"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumreturn"

	"github.com/uber-go/tally/v4"
)

// putOffRanks is the number of ranks that are counted apart; the last one includes all after it.
const putOffRanks = 10

// latencyBuckets range from a round trip between zones to the longest timeout of a route.
var latencyBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// counters holds the metrics of requests.
type counters struct {
	requests, served tally.Counter
	// crashes counts crashes of backend servers that had requests of this gateway.
	crashes tally.Counter
	// crashesUnconfirmed counts servers that broke connections of which nobody could tell whether they had crashed.
	crashesUnconfirmed tally.Counter
	// linksLost counts losses of this VM's links to the backend servers.
	linksLost tally.Counter
	// detours counts backend servers to which connections began to be opened through other VMs.
	detours tally.Counter
	// rests counts rests that backend servers asked for, leaves servers that said in an answer that they leave.
	rests, leaves tally.Counter
	// loadsUnclear counts answers whose load or pace can't be read.
	loadsUnclear tally.Counter
	// callersLeftUnsent and callersLeftSent count callers that left before and after their requests were sent.
	callersLeftUnsent, callersLeftSent tally.Counter
	// streamsRecorded and streamsUnrecorded count streams whose software version some control VM keeps, or none.
	streamsRecorded, streamsUnrecorded tally.Counter

	// answersHeld counts answers of which a part was held for a slow caller, by what became of it; heldBytes is what is held now.
	answersHeld map[heldOutcome]tally.Counter
	heldBytes   tally.Gauge
	// connectionsLeased are the connections to backend servers that this gateway has leased beyond its share.
	connectionsLeased tally.Gauge

	// attemptsEnded and answersCut count attempts that a verdict on links ended, before and after a part of the answer was
	// received.
	attemptsEnded, answersCut map[attemptEnd]tally.Counter

	refusals     map[laburnumlever.RefusalReason]tally.Counter
	retries      map[laburnumlever.RetryReason]tally.Counter
	reservations map[reserveOutcome]tally.Counter
	looks        map[lookOutcome]tally.Counter
	garbage      map[garbageKind]tally.Counter
	slots        map[slotOutcome]tally.Counter
	// returnsAtOnce and returnsAfterWait count callers that were told when a slot or a model is expected, before and after they
	// waited.
	returnsAtOnce, returnsAfterWait map[laburnumreturn.Kind]tally.Counter
	// leaseProbes and leaseWaits count calls for leases of brittle servers that don't wait for one, and those that do.
	leaseProbes, leaseWaits map[slotOutcome]tally.Counter
	scope                   tally.Scope

	// putOff counts less urgent requests that left a free slot to more urgent ones, by rank.
	putOff [putOffRanks]tally.Counter

	mu        sync.Mutex
	latencies map[laburnumlever.ServiceName]*latencies
}

//go:generate go tool -modfile=../tools/go.mod enumer -type=reserveOutcome -transform=kebab -trimprefix=reserve -output=reserveoutcome_gen.go

// reserveOutcome is the outcome of a reservation.
type reserveOutcome int

const (
	// reserveKept is a slot that the engine reserved.
	reserveKept reserveOutcome = iota
	// reserveTaken is a refusal because all slots are taken.
	reserveTaken
	// reserveUnanswered has no answer, or one that is not about a reservation.
	reserveUnanswered
)

// latencies holds the latency histograms of a service.
type latencies struct {
	// wait is the time in the queue; first and whole are the times from the arrival of the request
	// to the first and the last part of the answer; pause is the longest time between two parts.
	wait, first, pause, whole tally.Histogram
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		requests: scope.Counter("requests"), served: scope.Counter("served"), crashes: scope.Counter("backend_crashes"), connectionsLeased: scope.Gauge("connections_leased"), linksLost: scope.Counter("links_lost"), detours: scope.Counter("detours"), scope: scope,
		refusals: map[laburnumlever.RefusalReason]tally.Counter{}, retries: map[laburnumlever.RetryReason]tally.Counter{},
		reservations: map[reserveOutcome]tally.Counter{}, looks: map[lookOutcome]tally.Counter{}, slots: map[slotOutcome]tally.Counter{}, garbage: map[garbageKind]tally.Counter{},
		returnsAtOnce: map[laburnumreturn.Kind]tally.Counter{}, returnsAfterWait: map[laburnumreturn.Kind]tally.Counter{},
		leaseProbes: map[slotOutcome]tally.Counter{}, leaseWaits: map[slotOutcome]tally.Counter{},
		latencies:     map[laburnumlever.ServiceName]*latencies{},
		attemptsEnded: map[attemptEnd]tally.Counter{}, answersCut: map[attemptEnd]tally.Counter{},
	}
	for _, verdict := range []attemptEnd{endDetour, endLinksLost} {
		tagged := scope.Tagged(map[string]string{"verdict": verdict.String()})
		c.attemptsEnded[verdict], c.answersCut[verdict] = tagged.Counter("attempts_ended"), tagged.Counter("answers_cut")
	}
	c.crashesUnconfirmed = scope.Counter("backend_crashes_unconfirmed")
	c.answersHeld, c.heldBytes = map[heldOutcome]tally.Counter{}, scope.Gauge("held_bytes")
	for _, outcome := range heldOutcomeValues() {
		c.answersHeld[outcome] = scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("answers_held")
	}
	c.loadsUnclear = scope.Counter("loads_unclear")
	c.rests, c.leaves = scope.Counter("backend_rests"), scope.Counter("backend_leaves")
	c.callersLeftUnsent = scope.Tagged(map[string]string{"sent": "false"}).Counter("callers_left")
	c.callersLeftSent = scope.Tagged(map[string]string{"sent": "true"}).Counter("callers_left")
	c.streamsRecorded = scope.Tagged(map[string]string{"outcome": "kept"}).Counter("stream_records")
	c.streamsUnrecorded = scope.Tagged(map[string]string{"outcome": "not-kept"}).Counter("stream_records")
	for rank := range c.putOff {
		c.putOff[rank] = scope.Tagged(map[string]string{"rank": strconv.Itoa(rank)}).Counter("requests_put_off")
	}
	for _, outcome := range reserveOutcomeValues() {
		c.reservations[outcome] = scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("reservations")
	}
	for _, outcome := range lookOutcomeValues() {
		c.looks[outcome] = scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("looks")
	}
	for _, kind := range garbageKindValues() {
		c.garbage[kind] = scope.Tagged(map[string]string{"kind": kind.String()}).Counter("garbage_received")
	}
	for _, outcome := range slotOutcomeValues() {
		c.slots[outcome] = scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("limit_slots")
		c.leaseProbes[outcome] = scope.Tagged(map[string]string{"outcome": outcome.String(), "waits": "false"}).Counter("lease_calls")
		c.leaseWaits[outcome] = scope.Tagged(map[string]string{"outcome": outcome.String(), "waits": "true"}).Counter("lease_calls")
	}
	for _, kind := range []laburnumreturn.Kind{laburnumreturn.Drain, laburnumreturn.ModelLoad} {
		c.returnsAtOnce[kind] = scope.Tagged(map[string]string{"expected": kind.String(), "waited": "false"}).Counter("returns_told")
		c.returnsAfterWait[kind] = scope.Tagged(map[string]string{"expected": kind.String(), "waited": "true"}).Counter("returns_told")
	}
	for _, reason := range laburnumlever.RefusalReasonValues() {
		c.refusals[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("refusals")
	}
	for _, reason := range laburnumlever.RetryReasonValues() {
		c.retries[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("retries")
	}
	return c
}

// recordAnswer records the times of a complete answer.
func (c *counters) recordAnswer(q *request, out *answer) {
	l := c.latenciesOf(q.service.Name)
	l.wait.RecordDuration(q.waited)
	l.first.RecordDuration(out.firstAt.Sub(q.arrived))
	l.whole.RecordDuration(out.lastAt.Sub(q.arrived))
	if out.pause > 0 {
		l.pause.RecordDuration(out.pause)
	}
}

// latenciesOf returns the histograms of a service. The label has bounded cardinality, as services
// are set by operators.
func (c *counters) latenciesOf(service laburnumlever.ServiceName) *latencies {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.latencies[service]
	if l == nil {
		scope := c.scope.Tagged(map[string]string{"service": string(service)})
		l = &latencies{
			wait: scope.Histogram("wait_seconds", latencyBuckets), first: scope.Histogram("first_part_seconds", latencyBuckets),
			pause: scope.Histogram("pause_seconds", latencyBuckets), whole: scope.Histogram("answer_seconds", latencyBuckets),
		}
		c.latencies[service] = l
	}
	return l
}

// countPutOff counts a request that left a free slot to more urgent ones.
func (c *counters) countPutOff(rank int) { c.putOff[min(max(0, rank), putOffRanks-1)].Inc(1) }

// countLease counts a call for a lease.
func (c *counters) countLease(outcome slotOutcome, waits bool) {
	c.slots[outcome].Inc(1)
	if waits {
		c.leaseWaits[outcome].Inc(1)
	} else {
		c.leaseProbes[outcome].Inc(1)
	}
}

// countCallerLeft counts a caller that left before its answer was complete.
func (c *counters) countCallerLeft(q *request) {
	if q.sent > 0 {
		c.callersLeftSent.Inc(1)
	} else {
		c.callersLeftUnsent.Inc(1)
	}
}
