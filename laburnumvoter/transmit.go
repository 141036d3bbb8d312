package laburnumvoter

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"
)

// chunkBytes bounds one part of a snapshot, so that heartbeats on the same link
// do not wait behind a large message.
const chunkBytes = 256 << 10

// chunkTicks is how long one part may take, less than the log waits before it asks
// for a snapshot again.
const chunkTicks = 30

// transmit sends a log message; to itself it goes through the inbox.
func (v *Voter) transmit(m laburnumlog.Message) {
	if v.log != nil && m.To == v.log.ID() {
		v.inbox = append(v.inbox, m)
		return
	}
	address := v.addressOf(m.To)
	if address == "" {
		return
	}
	wire := wireMessage{Message: m, Address: v.self.PeerAddress}
	if m.Kind == laburnumlog.MessageSnapshot {
		v.sendSnapshot(address, wire)
		return
	}
	v.peers.Notify(address, logPrefix+m.Kind.String(), wire)
}

func (v *Voter) addressOf(id laburnumlog.ReplicaID) string {
	if m, ok := v.log.Configuration().Find(id); ok {
		return m.Address
	}
	return v.addresses[id]
}

func (v *Voter) onReceived(m wireMessage) {
	if v.log == nil || m.To != v.log.ID() {
		return
	}
	if _, ok := v.log.Configuration().Find(m.From); !ok {
		v.addresses[m.From] = m.Address
	}
	v.step(laburnumlog.Receive{Message: m.Message})
}

// sendingTable tells which members a snapshot is being sent to.
type sendingTable struct {
	mu   sync.Mutex
	busy map[laburnumlog.ReplicaID]bool
}

func (t *sendingTable) begin(id laburnumlog.ReplicaID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy == nil {
		t.busy = map[laburnumlog.ReplicaID]bool{}
	}
	if t.busy[id] {
		return false
	}
	t.busy[id] = true
	return true
}

func (t *sendingTable) end(id laburnumlog.ReplicaID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, id)
}

// sendSnapshot sends the snapshot in parts, one at a time. What is lost is sent
// again from the start when the log asks for it again.
func (v *Voter) sendSnapshot(address string, m wireMessage) {
	if !v.sending.begin(m.To) {
		return
	}
	go func() {
		defer v.sending.end(m.To)
		snapshot := *m.Snapshot
		data := snapshot.Data
		snapshot.Data = nil
		m.Snapshot = &snapshot
		for offset := 0; ; offset += chunkBytes {
			end := min(len(data), offset+chunkBytes)
			part := chunkParams{Message: m, Offset: offset, Data: data[offset:end], Last: end == len(data)}
			var answer chunkAnswer
			if err := v.callBriefly(address, part, &answer); err != nil || !answer.Accepted || part.Last {
				return
			}
		}
	}()
}

// callBriefly sends one part. A VM that is frozen answers nothing: the sender then
// gives up before the log asks for the snapshot again, or that would find it busy.
func (v *Voter) callBriefly(address string, part chunkParams, answer *chunkAnswer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := v.timers.After(chunkTicks*v.cfg.tick, func(time.Time) { cancel() })
	defer stop()
	return v.peers.Call(ctx, address, methodChunk, part, answer)
}

// assembly holds the parts of the one snapshot that is coming in.
type assembly struct {
	mu   sync.Mutex
	from laburnumlog.ReplicaID
	term uint64
	at   uint64
	data []byte
}

// take adds a part, and returns the whole once it is there. A part that does not
// go on from the last one is refused; the sender then starts over.
func (a *assembly) take(p chunkParams) (whole []byte, done, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Offset == 0 {
		a.from, a.term, a.at, a.data = p.Message.From, p.Message.Term, p.Message.Snapshot.Index, nil
	}
	same := a.from == p.Message.From && a.term == p.Message.Term && a.at == p.Message.Snapshot.Index
	if !same || len(a.data) != p.Offset {
		return nil, false, false
	}
	a.data = append(a.data, p.Data...)
	if !p.Last {
		return nil, false, true
	}
	whole, a.data = a.data, nil
	a.from = ""
	return whole, true, true
}

// handlePeers sets the handlers of all methods.
func (v *Voter) handlePeers() {
	for _, kind := range laburnumlog.MessageKindValues() {
		v.peers.Handle(logPrefix+kind.String(), v.handleMessage)
	}
	v.peers.Handle(methodChunk, v.handleChunk)
	v.peers.Handle(methodPropose, v.handlePropose)
	v.peers.Handle(methodHello, func(_ context.Context, params laburnumlever.RawMessage) (any, error) {
		var m helloMessage
		err := json.Unmarshal(params, &m)
		if err == nil {
			v.loop.Post(v, helloed{hello: m})
		}
		return nil, err
	})
	v.peers.Handle(methodBootstrap, func(_ context.Context, params laburnumlever.RawMessage) (any, error) {
		var m bootstrapMessage
		err := json.Unmarshal(params, &m)
		if err == nil {
			v.loop.Post(v, booted{message: m})
		}
		return nil, err
	})
	v.peers.Handle(methodSuperseded, func(_ context.Context, params laburnumlever.RawMessage) (any, error) {
		var m supersededMessage
		err := json.Unmarshal(params, &m)
		if err == nil {
			v.loop.Post(v, superseded{message: m})
		}
		return nil, err
	})
}

func (v *Voter) handleMessage(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var m wireMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	v.loop.Post(v, received{message: m})
	return nil, nil
}

func (v *Voter) handleChunk(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var p chunkParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	if p.Message.Snapshot == nil {
		return chunkAnswer{}, nil
	}
	whole, done, ok := v.assembly.take(p)
	if done {
		p.Message.Snapshot.Data = whole
		v.loop.Post(v, received{message: p.Message})
	}
	return chunkAnswer{Accepted: ok}, nil
}
