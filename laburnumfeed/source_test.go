package laburnumfeed

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumregistry"
	"laburnumlever/laburnumtimer"

	"github.com/stretchr/testify/require"
)

// loopbackPeers pass a call to the handler of a source in the same process.
type loopbackPeers struct {
	handlers map[string]laburnumlever.PeerHandler
}

func (p *loopbackPeers) Handle(method string, handler laburnumlever.PeerHandler) {
	p.handlers[method] = handler
}

func (p *loopbackPeers) Notify(_, method string, params any) {
	encoded, err := json.Marshal(params)
	if handler := p.handlers[method]; err == nil && handler != nil {
		_, _ = handler(context.Background(), encoded) // a notification has no answer
	}
}

func (p *loopbackPeers) Call(ctx context.Context, _, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := p.handlers[method](ctx, encoded)
	if err != nil {
		return err
	}
	if encoded, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

func newTestSource() (*Source, *loopbackPeers, *laburnumtimer.Manual) {
	peers := &loopbackPeers{handlers: map[string]laburnumlever.PeerHandler{}}
	timers := laburnumtimer.NewManual(time.Unix(1_000_000, 0))
	self := laburnumlever.VM{ID: "10.0.0.1", PeerAddress: "10.0.0.1:7000", HasDisk: true, Incarnation: 7}
	return NewSource(peers, timers, self), peers, timers
}

func record(i int) laburnumregistry.Record {
	return laburnumregistry.Record{Heartbeat: laburnumlever.Heartbeat{
		Backend: laburnumlever.BackendID(fmt.Sprintf("i-%04d", i)), Service: "quotes", Address: "10.1.0.9:8080", Sequence: 1,
	}}
}

func gateway(i int) laburnumlever.VM {
	return laburnumlever.VM{ID: laburnumlever.VMID(fmt.Sprintf("10.0.1.%d", i))}
}

func poll(t *testing.T, peers *loopbackPeers, q pollRequest) Answer {
	t.Helper()
	var a Answer
	require.NoError(t, peers.Call(t.Context(), "", methodPoll, q, &a))
	return a
}

// Guards against a control VM that runs out of memory when hundreds of gateways start, and against items lost or sent twice.
func TestInitialStateIsSentInPages(t *testing.T) {
	s, peers, timers := newTestSource()
	const backends = 3*pageItems + 10
	for i := range backends {
		s.SetRecord(record(i))
	}
	timers.Advance(time.Second)
	received := map[laburnumlever.BackendID]int{}
	q := pollRequest{From: gateway(1), Records: true}
	for pages := 1; len(received) < backends; pages++ {
		a := poll(t, peers, q)
		require.LessOrEqual(t, len(a.Backends), pageItems)
		require.LessOrEqual(t, pages, 4)
		for _, r := range a.Backends {
			received[r.Heartbeat.Backend]++
		}
		q.Boot, q.Since = a.Boot, a.Cursor
	}
	for id, n := range received {
		require.Equal(t, 1, n, id)
	}
}

// Guards against missing a change to a backend server whose earlier record was sent in a previous page.
func TestChangeBetweenPagesIsNotMissed(t *testing.T) {
	s, peers, timers := newTestSource()
	for i := range 2 * pageItems {
		s.SetRecord(record(i))
	}
	timers.Advance(time.Second)
	first := poll(t, peers, pollRequest{From: gateway(1), Records: true})
	leaving := record(0)
	leaving.Heartbeat.Sequence, leaving.Heartbeat.Leaving = 2, true
	s.SetRecord(leaving)
	timers.Advance(time.Second)
	q := pollRequest{From: gateway(1), Records: true, Boot: first.Boot, Since: first.Cursor}
	second := poll(t, peers, q)
	q.Since = second.Cursor
	third := poll(t, peers, q)
	received := append(second.Backends, third.Backends...)
	require.Contains(t, received, leaving)
	require.Len(t, received, pageItems+1)
}

// Guards against changed records that wake the polls of gateways which did not ask for records.
func TestRecordsWakeOnlyPollsForRecords(t *testing.T) {
	s, peers, timers := newTestSource()
	s.NoteControl(laburnumlever.VM{ID: "10.0.0.2", PeerAddress: "10.0.0.2:7000", HasDisk: true})
	timers.Advance(time.Second)
	a := poll(t, peers, pollRequest{From: gateway(1)})
	require.Len(t, a.Controls, 2)
	s.SetRecord(record(1))
	timers.Advance(time.Second)
	q := pollRequest{From: gateway(1), Boot: a.Boot, Since: a.Cursor}
	found, _ := s.hasChanges(q)
	require.False(t, found)
	q.Records = true
	found, _ = s.hasChanges(q)
	require.True(t, found)
}

// Guards against answers whose cost grows with the number of pollers while backend servers change constantly.
func TestBatchIntervalGrowsWithPollers(t *testing.T) {
	s, peers, timers := newTestSource()
	for i := range 300 {
		s.notePoller(gateway(i), "")
	}
	s.SetRecord(record(0))
	timers.Advance(0)
	q := pollRequest{From: gateway(1), Records: true}
	a := poll(t, peers, q)
	require.Len(t, a.Backends, 1, "the first change after a pause is sent at once")
	q.Boot, q.Since = a.Boot, a.Cursor
	for i := range 50 {
		s.SetRecord(record(i))
	}
	timers.Advance(300*batchTimePerPoller - time.Millisecond)
	found, _ := s.hasChanges(q)
	require.False(t, found)
	timers.Advance(time.Millisecond)
	require.Len(t, poll(t, peers, q).Backends, 50)
}

// Guards against encoding the same answer for each of the gateways that poll from one cursor.
func TestAnswerIsEncodedOnce(t *testing.T) {
	s, _, timers := newTestSource()
	s.SetRecord(record(1))
	timers.Advance(time.Second)
	one, err := s.answer(pollRequest{From: gateway(1), Records: true})
	require.NoError(t, err)
	two, err := s.answer(pollRequest{From: gateway(2), Records: true})
	require.NoError(t, err)
	require.Same(t, &one[0], &two[0])
}

// Guards against gateways that trust a partitioned control VM, which answers polls but misses changes.
func TestControlVMWithoutMajorityReportsIsolation(t *testing.T) {
	s, peers, timers := newTestSource()
	controls := []laburnumlever.VM{
		{ID: "10.0.0.2", PeerAddress: "10.0.0.2:7000", HasDisk: true},
		{ID: "10.0.0.3", PeerAddress: "10.0.0.3:7000", HasDisk: true},
	}
	for _, vm := range controls {
		s.notePoller(vm, "")
	}
	timers.Advance(time.Second)
	require.False(t, poll(t, peers, pollRequest{From: gateway(1)}).Isolated)
	timers.Advance(reachableTime)
	require.True(t, poll(t, peers, pollRequest{From: gateway(1)}).Isolated)
	s.notePoller(controls[0], "")
	timers.Advance(countTTL)
	require.False(t, poll(t, peers, pollRequest{From: gateway(1)}).Isolated)
}
