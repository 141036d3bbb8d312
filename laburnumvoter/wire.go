package laburnumvoter

import (
	"laburnumlever"
	"laburnumlever/laburnumlog"
)

// Peer methods. A log message is sent to the method named logPrefix and its kind.
const (
	methodPropose    = "propose"
	methodHello      = "log-hello"
	methodBootstrap  = "log-bootstrap"
	methodSuperseded = "log-superseded"
	methodChunk      = "log-snapshot-part"
	logPrefix        = "log-"
)

// wireMessage is a log message with the address of its sender.
type wireMessage struct {
	laburnumlog.Message
	Address string `json:"address"`
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

type proposeAnswer struct {
	Verdict verdict              `json:"verdict"`
	Result  laburnumlever.Result `json:"result"`
	// Leader is the leader to ask next, if known.
	Leader laburnumlever.Voter   `json:"leader"`
	Voters []laburnumlever.Voter `json:"voters,omitempty"`
	Detail string                `json:"detail,omitempty"`
}

// chunkParams is one chunk of a snapshot. Message has the snapshot's index and term but no data.
type chunkParams struct {
	Message wireMessage `json:"message"`
	Offset  int         `json:"offset"`
	Data    []byte      `json:"data"`
	Last    bool        `json:"last,omitempty"`
}

type chunkAnswer struct {
	Accepted bool `json:"accepted"`
}
