package laburnumvoter

import (
	"laburnumlever"
	"laburnumlever/laburnumlog"
)

// Methods between voters, besides "log-" and the kind of a log message.
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

// helloMessage announces a replica without a leader.
type helloMessage struct {
	Member laburnumlog.Member `json:"member"`
	Boot   uint64             `json:"boot"`
	// Configured tells that the replica has a configuration on its disk.
	Configured bool `json:"configured,omitempty"`
	Answer     bool `json:"answer,omitempty"`
	// Standby tells, in a leader's answer, that the asking replica is no member.
	Standby bool `json:"standby,omitempty"`
}

// bootstrapMessage carries the first configuration.
type bootstrapMessage struct {
	Configuration laburnumlog.Configuration `json:"configuration"`
}

// supersededMessage tells a replica that its disk was restored from an older copy, so that it
// must restart as a new instance. Boot guards against a late message.
type supersededMessage struct {
	ID   laburnumlog.ReplicaID `json:"id"`
	Boot uint64                `json:"boot"`
}

// verdict is the outcome of one attempt to propose.
type verdict string

const (
	verdictDone     verdict = "done"
	verdictNotTaken verdict = "not-taken" // not in any log by this attempt
	verdictUnknown  verdict = "unknown"
)

type proposeParams struct {
	Command laburnumlever.Command `json:"command"`
}

type proposeAnswer struct {
	Verdict verdict              `json:"verdict"`
	Result  laburnumlever.Result `json:"result"`
	// Leader is the VM to try next, if known.
	Leader laburnumlever.Voter   `json:"leader"`
	Voters []laburnumlever.Voter `json:"voters,omitempty"`
	Detail string                `json:"detail,omitempty"`
}

// chunkParams is a part of a snapshot; the first one carries the message.
type chunkParams struct {
	Message wireMessage `json:"message"`
	Offset  int         `json:"offset"`
	Data    []byte      `json:"data"`
	Last    bool        `json:"last,omitempty"`
}

type chunkAnswer struct {
	Accepted bool `json:"accepted"`
}
