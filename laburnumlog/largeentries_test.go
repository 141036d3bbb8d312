package laburnumlog_test

import (
	"bytes"
	"testing"

	"laburnumlever/laburnumlog"

	"github.com/stretchr/testify/require"
)

const largeEntry = 5 << 20 // bytes

// leaderWithLargeEntry returns a simulation whose first replica leads and has appended a large entry, with what it sent to the second.
func leaderWithLargeEntry(t *testing.T) (s *simulation, sent []laburnumlog.Message) {
	t.Helper()
	s = newSimulation(3, 3, 0)
	s.campaign(s.replicas[0])
	s.run(never, s.replicas...)
	require.Equal(t, laburnumlog.Leader, s.replicas[0].log.Role())
	s.step(s.replicas[0], laburnumlog.Propose{Data: [][]byte{bytes.Repeat([]byte("x"), largeEntry)}})
	return s, s.appendsTo(s.replicas[1])
}

// appendsTo takes the messages from the network and returns the appends to a replica.
func (s *simulation) appendsTo(r *replica) []laburnumlog.Message {
	var appends []laburnumlog.Message
	for _, m := range s.network {
		if m.Kind == laburnumlog.MessageAppend && m.To == r.id {
			appends = append(appends, m)
		}
	}
	s.network = nil
	return appends
}

// Guards against a leader that sends a large entry again and again while it is still on its way, until all VMs are busy with copies.
func TestLargeEntryOnItsWayIsNotSentAgain(t *testing.T) {
	s, sent := leaderWithLargeEntry(t)
	leader, follower := s.replicas[0], s.replicas[1]
	require.Len(t, sent, 1)
	heartbeat := func() { // the followers answer, so that the leader goes on
		for _, r := range s.replicas[1:] {
			s.step(leader, laburnumlog.Receive{Message: laburnumlog.Message{Kind: laburnumlog.MessageHeartbeatAnswer, From: r.id, To: leader.id, Term: leader.log.Term(), Boot: r.log.Boot()}})
		}
	}
	for tick := range 20 {
		s.step(leader, laburnumlog.Tick{})
		heartbeat()
		require.Zero(t, len(s.appendsTo(follower)), "tick %d", tick) // without printing the entry
	}
	again := 0
	for range 20 {
		s.step(leader, laburnumlog.Tick{})
		heartbeat()
		again += len(s.appendsTo(follower))
	}
	require.Equal(t, 1, again, "a lost entry is sent again")
}

// Guards against entries that overtake a large one and are rejected, so that the large one is sent again.
func TestNothingIsSentBehindALargeEntry(t *testing.T) {
	s, sent := leaderWithLargeEntry(t)
	leader, follower := s.replicas[0], s.replicas[1]
	s.step(leader, laburnumlog.Propose{Data: [][]byte{[]byte("small")}})
	require.Zero(t, len(s.appendsTo(follower)))
	s.step(follower, laburnumlog.Receive{Message: sent[0]})
	s.run(never, leader, follower)
	require.Equal(t, leader.log.LastIndex(), follower.log.LastIndex())
}

// Guards against a log that keeps a thousand large entries in memory until the VM is out of it.
func TestLogKeepsFewLargeEntriesBeforeASnapshot(t *testing.T) {
	l := laburnumlog.New("a/1", laburnumlog.Recovered{}, laburnumlog.WithBoot(laburnumlog.Boot(1, 1)))
	step := func(ev laburnumlog.Event) {
		for events := []laburnumlog.Event{ev}; len(events) > 0; events = events[1:] {
			out := l.Step(events[0])
			messages := out.Messages
			if out.Write != nil {
				events = append(events, laburnumlog.Written{Seq: out.Write.Seq})
				messages = append(messages, out.Write.DeferredMessages...)
			}
			for _, m := range messages { // its votes for itself
				events = append(events, laburnumlog.Receive{Message: m})
			}
		}
	}
	step(laburnumlog.Bootstrap{Configuration: laburnumlog.Configuration{}.WithMember(laburnumlog.Member{ID: "a/1", VM: "a"})})
	for range 20 {
		step(laburnumlog.Tick{})
	}
	require.Equal(t, laburnumlog.Leader, l.Role())
	for range 20 {
		step(laburnumlog.Propose{Data: [][]byte{make([]byte, largeEntry)}})
		step(laburnumlog.Tick{})
	}
	require.Equal(t, l.LastIndex(), l.Commit())
	step(laburnumlog.Compact{Snapshot: laburnumlog.Snapshot{Index: l.Commit()}})
	kept := 0
	for index := l.LastIndex(); index > 0 && l.TermAt(index-1) != 0; index-- {
		kept++
	}
	require.Equal(t, 1, kept, "of 20 entries of 5 MiB")
}
