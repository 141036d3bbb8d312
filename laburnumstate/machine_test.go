package laburnumstate_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumstate"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func claim(key string, digest uint64, id string) laburnumlever.Command {
	return laburnumlever.Command{Kind: laburnumlever.CommandClaimRequest, Claim: &laburnumlever.ClaimRequest{
		Owner: "desk", Service: "orders", Key: key, Digest: digest, VM: "a", Claim: id,
	}}
}

func answer(key string, outcome laburnumlever.RequestOutcome, body string) laburnumlever.Command {
	return laburnumlever.Command{Kind: laburnumlever.CommandRecordAnswer, Answer: &laburnumlever.RecordAnswer{
		Owner: "desk", Service: "orders", Key: key, VM: "a", Outcome: outcome,
		Answer: &laburnumlever.RecordedAnswer{Status: 200, Body: []byte(body)},
	}}
}

func lease(kind laburnumlever.CommandKind, holder string, fence, renewals uint64) laburnumlever.Command {
	return laburnumlever.Command{Kind: kind, Lease: &laburnumlever.LeaseCommand{
		Name: "zone-1", Holder: laburnumlever.VMID(holder), Incarnation: 1, Fence: fence, Renewals: renewals,
		TTL: laburnumlever.Duration(5 * time.Second),
	}}
}

func intent(kind laburnumlever.CommandKind, id string, fence uint64) laburnumlever.Command {
	return laburnumlever.Command{Kind: kind, Intent: &laburnumlever.OrderIntent{
		Lease: "zone-1", Backend: "e1", Order: laburnumlever.Order{ID: laburnumlever.OrderID(id), Fence: fence},
	}}
}

func apply(id string, expected uint64, name string) laburnumlever.Command {
	return laburnumlever.Command{Kind: laburnumlever.CommandApplyCatalogue, Apply: &laburnumlever.ApplyCatalogue{
		ChangeID: id, ExpectedRevision: expected,
		Catalogue: laburnumlever.Catalogue{Deployment: laburnumlever.Deployment{Name: name}},
	}}
}

// step is a command, its time in milliseconds and the expected result code.
type step struct {
	at   int64
	cmd  laburnumlever.Command
	want laburnumlever.ResultCode
}

func TestCommandSequences(t *testing.T) {
	const (
		ok, conflict, repeated, claimed = laburnumlever.ResultOK, laburnumlever.ResultConflict, laburnumlever.ResultRepeated, laburnumlever.ResultClaimed
		answered, mismatch, full        = laburnumlever.ResultAnswered, laburnumlever.ResultMismatch, laburnumlever.ResultFull
		unknown, invalid, notHolder     = laburnumlever.ResultUnknown, laburnumlever.ResultInvalid, laburnumlever.ResultNotHolder
		acquire, renew                  = laburnumlever.CommandAcquireLease, laburnumlever.CommandRenewLease
		expire, release                 = laburnumlever.CommandExpireLease, laburnumlever.CommandReleaseLease
		record, resolve                 = laburnumlever.CommandRecordIntent, laburnumlever.CommandResolveIntent
	)
	limits := laburnumstate.DefaultLimits()
	limits.OwnerClaims, limits.ClaimMillis, limits.AnswerBytes, limits.TotalBytes, limits.Changes = 2, 100, 8, 10, 2
	cases := map[string][]step{
		"a resend after a lost answer applies nothing": {
			{0, apply("x", 0, "one"), ok}, {0, apply("y", 1, "two"), ok}, {0, apply("x", 0, "one"), repeated},
		},
		"a change id with other content": {{0, apply("x", 0, "one"), ok}, {0, apply("x", 0, "two"), mismatch}},
		"a refused change stays refused at its expected revision": {
			{0, apply("early", 1, "early"), conflict}, {0, apply("x", 0, "one"), ok}, {0, apply("early", 1, "early"), conflict},
		},
		"a change without an id": {{0, apply("", 0, "one"), invalid}},
		"a claimed key runs once": {
			{0, claim("k", 1, "1"), ok},
			{0, claim("k", 1, "2"), claimed},
			{0, answer("k", laburnumlever.OutcomeAnswered, "done"), ok},
			{0, claim("k", 1, "3"), answered},
			{0, answer("k", laburnumlever.OutcomeNotRun, ""), answered},
			{0, claim("k", 1, "4"), answered},
		},
		"the same claim twice is one": {{0, claim("k", 1, "1"), ok}, {0, claim("k", 1, "1"), ok}},
		"a key with other content":    {{0, claim("k", 1, "1"), ok}, {0, claim("k", 2, "2"), mismatch}},
		"a request that did not run can be claimed again": {
			{0, claim("k", 1, "1"), ok}, {0, answer("k", laburnumlever.OutcomeNotRun, ""), ok}, {0, claim("k", 1, "2"), ok},
		},
		"an owner's share is full until claims expire": {
			{0, claim("k", 1, "1"), ok},
			{50, claim("l", 1, "2"), ok},
			{60, claim("m", 1, "3"), full},
			{101, claim("m", 1, "3"), ok},
			{101, claim("l", 1, "4"), claimed},
			{101, claim("k", 1, "5"), full},
		},
		"time does not go back": {{500, claim("k", 1, "1"), ok}, {0, claim("k", 1, "2"), claimed}},
		"a lease has one holder, and its fence only grows": {
			{0, lease(acquire, "a", 0, 0), ok},
			{0, lease(acquire, "b", 0, 0), conflict},
			{0, lease(renew, "a", 1, 0), ok},
			{0, lease(expire, "a", 1, 0), notHolder}, // the renewal came first
			{0, lease(expire, "a", 1, 1), ok},
			{0, lease(acquire, "b", 0, 0), ok},
			{0, lease(renew, "a", 1, 0), notHolder},
			{0, lease(release, "a", 1, 0), notHolder},
			{0, lease(release, "b", 2, 0), ok},
			{0, lease(renew, "b", 2, 0), notHolder},
		},
		"the intent of a former holder is refused": {
			{0, intent(record, "o1", 1), unknown},
			{0, lease(acquire, "a", 0, 0), ok},
			{0, intent(record, "o1", 1), ok},
			{0, intent(record, "o1", 1), ok},
			{0, lease(expire, "a", 1, 0), ok},
			{0, intent(record, "o2", 1), notHolder},
			{0, lease(acquire, "b", 0, 0), ok},
			{0, intent(record, "o2", 1), notHolder},
			{0, intent(resolve, "o1", 1), ok},
			{0, intent(resolve, "o1", 1), unknown},
		},
		"kind and content must agree": {{0, laburnumlever.Command{Kind: laburnumlever.CommandClaimRequest}, invalid}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			m := laburnumstate.New(laburnumstate.WithLimits(limits))
			for i, s := range steps {
				require.Equal(t, s.want, m.Apply(s.at, s.cmd).Code, "step %d", i)
				// Restoring from a snapshot after each step must not change the results.
				data, err := m.Image().Encode()
				require.NoError(t, err)
				m, err = laburnumstate.Decode(data, laburnumstate.WithLimits(limits))
				require.NoError(t, err)
			}
		})
	}
}

func TestAcquireReturnsUnresolvedIntents(t *testing.T) {
	m := laburnumstate.New()
	require.EqualValues(t, 1, m.Apply(0, lease(laburnumlever.CommandAcquireLease, "a", 0, 0)).Fence)
	m.Apply(0, intent(laburnumlever.CommandRecordIntent, "o1", 1))
	m.Apply(0, lease(laburnumlever.CommandExpireLease, "a", 1, 0))
	granted := m.Apply(0, lease(laburnumlever.CommandAcquireLease, "b", 0, 0))
	require.EqualValues(t, 2, granted.Fence)
	require.Len(t, granted.Intents, 1)
}

// Guards against an idle time of a holder before the last one, or of one that released its lease.
func TestLeaseIdleTimeIsOfLastHolder(t *testing.T) {
	m := laburnumstate.New()
	expire := lease(laburnumlever.CommandExpireLease, "a", 1, 0)
	expire.Lease.Idle = laburnumlever.Duration(2 * time.Second)
	require.Zero(t, m.Apply(0, lease(laburnumlever.CommandAcquireLease, "a", 0, 0)).Idle)
	m.Apply(0, expire)
	require.Equal(t, expire.Lease.Idle, m.Apply(0, lease(laburnumlever.CommandAcquireLease, "b", 0, 0)).Idle)
	require.Zero(t, m.Apply(0, lease(laburnumlever.CommandAcquireLease, "b", 0, 0)).Idle, "a renewal")
	m.Apply(0, lease(laburnumlever.CommandReleaseLease, "b", 2, 0))
	require.Zero(t, m.Apply(0, lease(laburnumlever.CommandAcquireLease, "c", 0, 0)).Idle)
}

// Guards against an answer that is too large or was evicted being returned empty, or its request being run again.
func TestAnswersBeyondTheBoundsBecomeUnknown(t *testing.T) {
	limits := laburnumstate.DefaultLimits()
	limits.AnswerBytes, limits.TotalBytes = 8, 10
	m := laburnumstate.New(laburnumstate.WithLimits(limits))
	for _, key := range []string{"small", "later", "large"} {
		m.Apply(0, claim(key, 1, key))
	}
	m.Apply(0, answer("small", laburnumlever.OutcomeAnswered, "123456"))
	require.Equal(t, laburnumlever.OutcomeAnswered, m.Apply(0, claim("small", 1, "again")).Outcome)
	m.Apply(0, answer("large", laburnumlever.OutcomeAnswered, "123456789"))
	m.Apply(0, answer("later", laburnumlever.OutcomeAnswered, "123456"))
	for key, want := range map[string]laburnumlever.RequestOutcome{
		"small": laburnumlever.OutcomeUnknown, "large": laburnumlever.OutcomeUnknown, "later": laburnumlever.OutcomeAnswered,
	} {
		r := m.Apply(0, claim(key, 1, "again"))
		require.Equal(t, laburnumlever.ResultAnswered, r.Code, key)
		require.Equal(t, want, r.Outcome, key)
		require.Equal(t, want == laburnumlever.OutcomeAnswered, r.Answer != nil, key)
	}
}

// Guards against replicas that diverge after they were restored from a snapshot.
func TestSnapshotAtAnyPointGivesSameState(t *testing.T) {
	limits := laburnumstate.DefaultLimits()
	limits.OwnerClaims, limits.ClaimMillis, limits.TotalBytes = 6, 30, 20
	rapid.Check(t, func(t *rapid.T) {
		one := laburnumstate.New(laburnumstate.WithLimits(limits))
		two := laburnumstate.New(laburnumstate.WithLimits(limits))
		var at int64
		for i := range rapid.IntRange(0, 60).Draw(t, "n") {
			at += int64(rapid.IntRange(0, 9).Draw(t, "wait"))
			key := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))
			cmd := claim(key, 1, fmt.Sprint(i))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 1:
				cmd = answer(key, laburnumlever.OutcomeAnswered, "12345")
			case 2:
				cmd = answer(key, laburnumlever.OutcomeNotRun, "")
			case 3:
				cmd = apply(key, uint64(i), key)
			default:
			}
			require.Equal(t, one.Apply(at, cmd), two.Apply(at, cmd))
			data, err := two.Image().Encode()
			require.NoError(t, err)
			two, err = laburnumstate.Decode(data, laburnumstate.WithLimits(limits))
			require.NoError(t, err)
		}
		a, err := one.Image().Encode()
		require.NoError(t, err)
		b, err := two.Image().Encode()
		require.NoError(t, err)
		require.Equal(t, string(a), string(b))
	})
}

// BenchmarkClaimMemory measures the heap size of claims without answers, and the time to
// apply them, copy them for a snapshot and encode them.
func BenchmarkClaimMemory(b *testing.B) {
	const claims = 100_000
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC() // frees what the first run swept late
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	limits := laburnumstate.DefaultLimits()
	limits.OwnerClaims = claims
	run := func() {
		before := heap()
		m := laburnumstate.New(laburnumstate.WithLimits(limits))
		from := time.Now()
		for i := range claims {
			m.Apply(0, claim(fmt.Sprintf("a7f3-%032d", i), uint64(i), fmt.Sprintf("a-1-1764707000000000000-%d", i)))
		}
		b.ReportMetric(float64(time.Since(from).Microseconds())/claims, "apply-us/claim")
		b.ReportMetric(float64(heap()-before)/claims*1000/1024, "KiB/1000-claims")
		from = time.Now()
		image := m.Image()
		b.ReportMetric(float64(time.Since(from).Milliseconds()), "image-ms")
		from = time.Now()
		data, err := image.Encode()
		require.NoError(b, err)
		b.ReportMetric(float64(time.Since(from).Milliseconds()), "encode-ms")
		b.ReportMetric(float64(len(data))/claims, "image-bytes/claim")
		require.Equal(b, claims, m.ClaimCount())
	}
	for b.Loop() {
		run()
	}
}
