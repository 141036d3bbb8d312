package laburnumvoter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
)

const (
	// uploadExpiry is how long a command that arrives in chunks is kept after its last use. It outlasts the pause before an
	// operator sends a manifest again.
	uploadExpiry = 10 * time.Second
	// maxUploads bounds the memory for commands that arrive in chunks, each of maxCommandBytes or less.
	maxUploads = 4
)

// forward proposes a command to the VM at an address. A large one travels in chunks: a VM that takes seconds to decode a message
// answers no ping meanwhile, so that the link is closed and the message lost, at every attempt.
func (v *Voter) forward(ctx context.Context, address string, cmd laburnumlever.Command) (proposeAnswer, error) {
	data, err := json.Marshal(cmd)
	if err != nil {
		return proposeAnswer{}, err
	}
	if len(data) > chunkBytes {
		answer, err := v.forwardInChunks(ctx, address, data)
		var refused *laburnumlever.PeerRefusedError
		if !errors.As(err, &refused) || !refused.UnknownMethod() {
			return answer, err
		}
		// A VM of an earlier build takes only whole commands.
	}
	var answer proposeAnswer
	err = v.peers.Call(ctx, address, methodPropose, encodedProposeParams{Command: data}, &answer)
	return answer, err
}

// forwardInChunks sends an encoded command in chunks, one at a time, and continues where an earlier attempt ended.
func (v *Voter) forwardInChunks(ctx context.Context, address string, data []byte) (proposeAnswer, error) {
	digest := sha256.Sum256(data)
	params := proposeChunkParams{Digest: hex.EncodeToString(digest[:]), Size: len(data)}
	for {
		params.Data = data[params.Offset:min(len(data), params.Offset+chunkBytes)]
		var answer proposeChunkAnswer
		if err := v.peers.Call(ctx, address, methodProposeChunk, params, &answer); err != nil {
			return proposeAnswer{}, err
		}
		if answer.Answer != nil {
			return *answer.Answer, nil
		}
		if answer.Held < 0 || answer.Held > len(data) {
			return proposeAnswer{}, &ChunkOffsetError{Offset: answer.Held, Size: len(data)}
		}
		params.Offset = answer.Held
	}
}

// handleProposeChunk takes a chunk of a command, and proposes the command once it is complete.
func (v *Voter) handleProposeChunk(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var p proposeChunkParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	v.cfg.scope.Counter("voter-proposal-chunks").Inc(1)
	if p.Size > maxCommandBytes {
		tooLarge := &proposal{reply: make(chan proposeAnswer, 1)}
		v.rejectCommand(tooLarge, p.Size, nil)
		answer := <-tooLarge.reply
		return proposeChunkAnswer{Answer: &answer}, nil
	}
	of := v.uploads.use(p.Digest, v.timers.Now())
	if of == nil {
		return proposeChunkAnswer{Answer: &proposeAnswer{Verdict: verdictNotTaken, Detail: "too many large commands are arriving"}}, nil
	}
	cmd, held, err := of.add(p)
	if cmd == nil {
		return proposeChunkAnswer{Held: held}, err
	}
	ctx, cancel := v.withProposalTimeout(ctx)
	defer cancel()
	answer := v.proposeLocally(ctx, *cmd)
	return proposeChunkAnswer{Held: held, Answer: &answer}, nil
}

// upload is a command that arrives in chunks.
type upload struct {
	digest string
	usedAt time.Time // guarded by the mutex of the uploads

	mu   sync.Mutex
	data []byte
	// command is set once all chunks are there; data is nil then.
	command *laburnumlever.Command
}

// add adds a chunk, unless it is held already. It returns the command if it is complete, and otherwise the offset of the next chunk.
func (u *upload) add(p proposeChunkParams) (cmd *laburnumlever.Command, held int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.command != nil {
		return u.command, p.Size, nil
	}
	if p.Offset == len(u.data) {
		u.data = append(u.data, p.Data...)
	}
	if len(u.data) < p.Size {
		return nil, len(u.data), nil
	}
	var command laburnumlever.Command
	if err := json.Unmarshal(u.data, &command); err != nil {
		u.data = nil
		return nil, 0, err
	}
	u.command, u.data = &command, nil
	return u.command, p.Size, nil
}

// uploads holds the commands that arrive in chunks. Operators send a manifest until it is acknowledged, so that a command is kept
// for some time after it is complete: the next attempt sends one chunk of it.
type uploads struct {
	mu   sync.Mutex
	list []*upload
}

// use returns the upload of a digest; nil if it is a new one and too many others are used.
func (u *uploads) use(digest string, now time.Time) *upload {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, of := range u.list {
		if of.digest == digest {
			of.usedAt = now
			return of
		}
	}
	if len(u.list) >= maxUploads {
		return nil
	}
	of := &upload{digest: digest, usedAt: now}
	u.list = append(u.list, of)
	return of
}

// expire drops the uploads that were not used for uploadExpiry.
func (u *uploads) expire(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.list = slices.DeleteFunc(u.list, func(of *upload) bool { return now.Sub(of.usedAt) >= uploadExpiry })
}
