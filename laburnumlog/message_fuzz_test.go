package laburnumlog_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumlog"
)

// Guards against messages from another VM that make a replica panic or decrease its commit index.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`[{"kind":"message-append","from":"b/2","to":"a/1","term":3,"index":2,"log-term":1,"commit":9,"entries":[{"index":3,"term":3}]}]`))
	f.Add([]byte(`[{"kind":"message-append","from":"b/2","to":"a/1","term":3,"index":2,"log-term":1,"entries":[{"index":9,"term":3},{"index":4,"term":2}]}]`))
	f.Add([]byte(`[{"kind":"message-snapshot","from":"b/2","to":"a/1","term":3,"snapshot":{"index":7,"term":2}},{"kind":"message-append","from":"b/2","to":"a/1","term":3,"index":7,"log-term":2,"entries":[{"index":8,"term":3}]}]`))
	f.Add([]byte(`[{"kind":"message-append-answer","from":"b/2","to":"a/1","term":1,"index":99},{"kind":"message-append-answer","from":"c/3","to":"a/1","term":1,"index":18446744073709551615}]`))
	f.Add([]byte(`[{"kind":"message-append-answer","from":"b/2","to":"a/1","term":1,"reject":true,"hint":77,"commit":88}]`))
	f.Add([]byte(`[{"kind":"message-vote","from":"b/2","to":"a/1","term":18446744073709551615,"index":9,"log-term":9,"force":true}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var messages []laburnumlog.Message
		if json.Unmarshal(data, &messages) != nil {
			return
		}
		messages = messages[:min(len(messages), 8)]
		for name, log := range map[string]*laburnumlog.Log{"follower": follower(t), "leader": leader(t)} {
			for _, m := range messages {
				m.To = log.ID()
				before := log.Commit()
				out := log.Step(laburnumlog.Receive{Message: m})
				if out.Fault != nil {
					break // the driver stops the replica
				}
				require.GreaterOrEqual(t, log.Commit(), before, name)
				if out.Write != nil {
					log.Step(laburnumlog.Written{Seq: out.Write.Seq})
				}
			}
			for range 40 {
				log.Step(laburnumlog.Tick{})
			}
			log.Step(laburnumlog.Propose{Data: [][]byte{[]byte("x")}})
		}
	})
}

func member(id laburnumlog.ReplicaID) laburnumlog.Member {
	return laburnumlog.Member{ID: id, VM: "vm-" + "x", Address: string(id)}
}

func threeVoters() laburnumlog.Configuration {
	return laburnumlog.Configuration{Members: []laburnumlog.Member{member("a/1"), member("b/2"), member("c/3")}}
}

// follower returns a follower, one of three voters, with only the bootstrap configuration.
func follower(t *testing.T) *laburnumlog.Log {
	log := laburnumlog.New("a/1", laburnumlog.Recovered{}, laburnumlog.WithSeed(1))
	stepDurably(log, laburnumlog.Bootstrap{Configuration: threeVoters()})
	require.EqualValues(t, 1, log.Commit())
	return log
}

// leader returns a leader, one of three voters, with one committed entry.
func leader(t *testing.T) *laburnumlog.Log {
	log := follower(t)
	for log.Role() != laburnumlog.Leader {
		queue := stepDurably(log, laburnumlog.Tick{})
		for len(queue) > 0 {
			m := queue[0]
			queue = append(queue[1:], stepDurably(log, laburnumlog.Receive{Message: answerTo(log.ID(), m)})...)
		}
	}
	require.EqualValues(t, 2, log.Commit())
	return log
}

// answerTo returns another replica's positive answer to m, or m itself if it needs none.
func answerTo(self laburnumlog.ReplicaID, m laburnumlog.Message) laburnumlog.Message {
	answer := laburnumlog.Message{From: m.To, To: self, Term: m.Term}
	switch m.Kind {
	case laburnumlog.MessagePreVote:
		answer.Kind = laburnumlog.MessagePreVoteAnswer
	case laburnumlog.MessageVote:
		answer.Kind = laburnumlog.MessageVoteAnswer
	case laburnumlog.MessageAppend:
		answer.Kind, answer.Index = laburnumlog.MessageAppendAnswer, m.Index+uint64(len(m.Entries))
	default:
		return m
	}
	return answer
}

// stepDurably steps an event with a disk that completes writes at once, and returns the messages.
func stepDurably(log *laburnumlog.Log, ev laburnumlog.Event) []laburnumlog.Message {
	out := log.Step(ev)
	messages := out.Messages
	for out.Write != nil {
		messages = append(messages, out.Write.DeferredMessages...)
		out = log.Step(laburnumlog.Written{Seq: out.Write.Seq})
		messages = append(messages, out.Messages...)
	}
	return messages
}
