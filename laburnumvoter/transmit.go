package laburnumvoter

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"
)

// chunkBytes bounds one chunk of a snapshot or a large entry, so that heartbeats don't queue behind it.
const chunkBytes = 256 << 10

// chunkTicks is the timeout of sending a chunk, in ticks. It is below the time after which the log
// resends a snapshot.
const chunkTicks = 30

// transmit sends a log message. A message to this replica itself goes to the inbox.
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
	if len(wire.payload()) > chunkBytes || m.Kind == laburnumlog.MessageSnapshot {
		v.sendInChunks(address, wire)
		return
	}
	v.notify(address, wire)
}

func (v *Voter) notify(address string, m wireMessage) {
	v.peers.Notify(address, logPrefix+m.Kind.String(), m)
}

func (v *Voter) addressOf(id laburnumlog.ReplicaID) string {
	if m, ok := v.log.Configuration().Find(id); ok {
		return m.Address
	}
	if address, ok := v.addresses[id]; ok {
		return address
	}
	start, _ := v.log.Starts().Of(id.VM())
	return start.Address
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

// chunkedSends is the set of members to which a message is being sent in chunks.
type chunkedSends struct {
	mu   sync.Mutex
	busy map[laburnumlog.ReplicaID]bool
}

func (t *chunkedSends) begin(id laburnumlog.ReplicaID) bool {
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

func (t *chunkedSends) end(id laburnumlog.ReplicaID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, id)
}

// sendInChunks sends a snapshot or an entry in chunks, one at a time, unless a message is already being sent to the
// member this way. If a chunk is lost, the log later resends the whole message.
func (v *Voter) sendInChunks(address string, m wireMessage) {
	if !v.chunkedSends.begin(m.To) {
		return
	}
	go func() {
		defer v.chunkedSends.end(m.To)
		data, rest := m.payload(), m.withPayload(nil)
		for offset := 0; ; offset += chunkBytes {
			end := min(len(data), offset+chunkBytes)
			part := chunkParams{Message: rest, Offset: offset, Data: data[offset:end], Last: end == len(data)}
			var answer chunkAnswer
			err := v.sendChunk(address, part, &answer)
			if err == nil && !answer.Accepted && offset == 0 && m.Kind == laburnumlog.MessageAppend {
				v.notify(address, m) // a VM of an earlier build takes only snapshots in chunks
			}
			if err != nil || !answer.Accepted || part.Last {
				return
			}
		}
	}()
}

// sendChunk sends one chunk. On a frozen VM it times out before the log resends the message, which
// would otherwise be skipped because this one is still being sent.
func (v *Voter) sendChunk(address string, part chunkParams, answer *chunkAnswer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := v.timers.After(chunkTicks*v.cfg.tick, func(time.Time) { cancel() })
	defer stop()
	return v.peers.Call(ctx, address, methodChunk, part, answer)
}

// chunkAssembly holds the chunks of an incoming message.
type chunkAssembly struct {
	mu   sync.Mutex
	of   chunkedMessage
	data []byte
}

// chunkedMessage identifies a message that is sent in chunks.
type chunkedMessage struct {
	kind        laburnumlog.MessageKind
	from        laburnumlog.ReplicaID
	term, index uint64
}

// add appends a chunk, and returns the payload once it is complete. It rejects a chunk out of
// order, after which the sender starts over.
func (a *chunkAssembly) add(p chunkParams) (whole []byte, done, ok bool) {
	of := p.Message.chunked()
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Offset == 0 {
		a.of, a.data = of, nil
	}
	if a.of != of || len(a.data) != p.Offset {
		return nil, false, false
	}
	a.data = append(a.data, p.Data...)
	if !p.Last {
		return nil, false, true
	}
	whole, a.data = a.data, nil
	a.of = chunkedMessage{}
	return whole, true, true
}

// registerHandlers registers the handlers of all peer methods.
func (v *Voter) registerHandlers() {
	for _, kind := range laburnumlog.MessageKindValues() {
		v.peers.Handle(logPrefix+kind.String(), v.handleMessage)
	}
	v.peers.Handle(methodChunk, v.handleChunk)
	v.peers.Handle(methodPropose, v.handlePropose)
	v.peers.Handle(methodProposeChunk, v.handleProposeChunk)
	v.peers.Handle(methodHello, func(_ context.Context, params laburnumlever.RawMessage) (any, error) {
		var m helloMessage
		err := json.Unmarshal(params, &m)
		if err == nil {
			v.loop.Post(v, helloReceived{hello: m})
		}
		return nil, err
	})
	v.peers.Handle(methodBootstrap, func(_ context.Context, params laburnumlever.RawMessage) (any, error) {
		var m bootstrapMessage
		err := json.Unmarshal(params, &m)
		if err == nil {
			v.loop.Post(v, bootstrapReceived{message: m})
		}
		return nil, err
	})
	v.peers.Handle(methodSuperseded, func(_ context.Context, params laburnumlever.RawMessage) (any, error) {
		var m supersededMessage
		err := json.Unmarshal(params, &m)
		if err == nil {
			v.loop.Post(v, supersededReceived{message: m})
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
	if !p.Message.hasPayload() {
		return chunkAnswer{}, nil
	}
	whole, done, ok := v.assembly.add(p)
	if done {
		v.loop.Post(v, received{message: p.Message.withPayload(whole)})
	}
	return chunkAnswer{Accepted: ok}, nil
}
