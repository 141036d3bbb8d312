package laburnumvoter

import (
	"encoding/json"

	"laburnumlever"
	"laburnumlever/laburnumlog"
)

// Peer methods. A log message is sent to the method named logPrefix and its kind.
const (
	methodPropose      = "propose"
	methodProposeChunk = "propose-chunk"
	methodHello        = "log-hello"
	methodBootstrap    = "log-bootstrap"
	methodSuperseded   = "log-superseded"
	methodChunk        = "log-snapshot-part"
	logPrefix          = "log-"
)

// wireMessage is a log message with the address of its sender.
type wireMessage struct {
	laburnumlog.Message
	Address string `json:"address"`
}

// hasPayload reports whether the message can be sent in chunks: it is a snapshot or an append of one entry.
func (m wireMessage) hasPayload() bool {
	return m.Snapshot != nil || m.Kind == laburnumlog.MessageAppend && len(m.Entries) == 1
}

// payload returns the part of the message that can be sent in chunks; nil if there is none.
func (m wireMessage) payload() []byte {
	switch {
	case !m.hasPayload():
		return nil
	case m.Snapshot != nil:
		return m.Snapshot.Data
	default:
		return m.Entries[0].Data
	}
}

// withPayload returns a copy of the message with another payload.
func (m wireMessage) withPayload(data []byte) wireMessage {
	if m.Snapshot != nil {
		snapshot := *m.Snapshot
		snapshot.Data = data
		m.Snapshot = &snapshot
		return m
	}
	entry := m.Entries[0]
	entry.Data = data
	m.Entries = []laburnumlog.Entry{entry}
	return m
}

// chunked identifies the message among those that are sent in chunks.
func (m wireMessage) chunked() chunkedMessage {
	of := chunkedMessage{kind: m.Kind, from: m.From, term: m.Term}
	if m.Snapshot != nil {
		of.index = m.Snapshot.Index
	} else {
		of.index = m.Entries[0].Index
	}
	return of
}

// helloMessage announces a replica that has just started, is no member or knows no leader.
type helloMessage struct {
	Member laburnumlog.Member `json:"member"`
	Boot   uint64             `json:"boot"`
	// Configured means that the replica has a configuration in its log.
	Configured bool `json:"configured,omitempty"`
	Answer     bool `json:"answer,omitempty"`
	// Standby means, in a leader's answer, that the replica that sent the hello is no member.
	Standby bool `json:"standby,omitempty"`
	// KnowsStarts is set by programs that register the starts of other VMs.
	KnowsStarts bool `json:"knows-starts,omitempty"`
}

// bootstrapMessage carries the first configuration of the log.
type bootstrapMessage struct {
	Configuration laburnumlog.Configuration `json:"configuration"`
}

// supersededMessage tells a replica that its data folder was restored from an older copy, so that it
// must restart as a new instance. A replica with another Boot ignores it, since the message is late.
type supersededMessage struct {
	ID   laburnumlog.ReplicaID `json:"id"`
	Boot uint64                `json:"boot"`
}

// verdict is the outcome of one attempt to propose.
type verdict string

const (
	verdictDone     verdict = "done"
	verdictNotTaken verdict = "not-taken" // this attempt has not appended the command to any log
	verdictUnknown  verdict = "unknown"
)

type proposeParams struct {
	Command laburnumlever.Command `json:"command"`
}

// encodedProposeParams are proposeParams with an encoded command.
type encodedProposeParams struct {
	Command json.RawMessage `json:"command"`
}

type proposeAnswer struct {
	Verdict verdict              `json:"verdict"`
	Result  laburnumlever.Result `json:"result"`
	// Leader is the leader to ask next, if known.
	Leader laburnumlever.Voter   `json:"leader"`
	Voters []laburnumlever.Voter `json:"voters,omitempty"`
	Detail string                `json:"detail,omitempty"`
}

// proposeChunkParams is one chunk of an encoded command of a size in bytes, which its SHA-256 identifies.
type proposeChunkParams struct {
	Digest string `json:"digest"`
	Size   int    `json:"size"`
	Offset int    `json:"offset"`
	Data   []byte `json:"data"`
}

// proposeChunkAnswer has the number of bytes held, or the answer to the proposal once the command is complete.
type proposeChunkAnswer struct {
	Held   int            `json:"held"`
	Answer *proposeAnswer `json:"answer,omitempty"`
}

// chunkParams is one chunk of a snapshot or an entry. Message has its index and term but no data.
type chunkParams struct {
	Message wireMessage `json:"message"`
	Offset  int         `json:"offset"`
	Data    []byte      `json:"data"`
	Last    bool        `json:"last,omitempty"`
}

type chunkAnswer struct {
	Accepted bool `json:"accepted"`
}
