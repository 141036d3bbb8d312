package laburnumstandin

import (
	"context"
	"slices"
	"time"

	"laburnumlever/laburnumtimer"

	"laburnumlever"
)

// prefixCacheSize is the number of prefix hashes that an engine keeps.
const prefixCacheSize = 128

// slots counts the batch's busy slots and queues requests for a free one,
// interactive requests first.
type slots struct {
	size, queue int
	busy        int
	interactive []chan struct{}
	batch       []chan struct{}
}

func (s *slots) waiting() int { return len(s.interactive) + len(s.batch) }

// acquire takes a free slot and returns (nil, true), or queues the request and returns
// a channel that is closed when a slot is granted. It returns false if the queue is full.
func (s *slots) acquire(priority laburnumlever.Priority) (chan struct{}, bool) {
	if s.busy < s.size {
		s.busy++
		return nil, true
	}
	if s.waiting() >= s.queue {
		return nil, false
	}
	granted := make(chan struct{})
	if priority == laburnumlever.Batch {
		s.batch = append(s.batch, granted)
	} else {
		s.interactive = append(s.interactive, granted)
	}
	return granted, true
}

// release hands the slot to the first queued request, or frees it.
func (s *slots) release() {
	switch {
	case len(s.interactive) > 0:
		close(s.interactive[0])
		s.interactive = s.interactive[1:]
	case len(s.batch) > 0:
		close(s.batch[0])
		s.batch = s.batch[1:]
	default:
		s.busy--
	}
}

// abandon removes a request from the queue; false means that it has been granted a
// slot in the meantime.
func (s *slots) abandon(granted chan struct{}) bool {
	before := s.waiting()
	same := func(other chan struct{}) bool { return other == granted }
	s.interactive = slices.DeleteFunc(s.interactive, same)
	s.batch = slices.DeleteFunc(s.batch, same)
	return s.waiting() < before
}

// prefixCache is an LRU cache of prompt prefix hashes, most recently used first.
type prefixCache struct{ hashes []uint64 }

// use marks the prefixes as most recently used and returns the fraction of them,
// 0 to 1, that was cached.
func (c *prefixCache) use(hashes []uint64) float64 {
	hits := 0
	for _, hash := range hashes {
		if i := slices.Index(c.hashes, hash); i >= 0 {
			hits++
			c.hashes = slices.Delete(c.hashes, i, i+1)
		}
		c.hashes = slices.Insert(c.hashes, 0, hash)
	}
	c.hashes = c.hashes[:min(len(c.hashes), prefixCacheSize)]
	return float64(hits) / float64(len(hashes))
}

func (c *prefixCache) list() []uint64 { return slices.Clone(c.hashes) }

// acquire waits for a slot. It returns false if the queue is full or the request is
// cancelled first; the request has then not run.
func (e *Engine) acquire(ctx context.Context, priority laburnumlever.Priority) bool {
	e.mu.Lock()
	granted, ok := e.slots.acquire(priority)
	e.mu.Unlock()
	if !ok || granted == nil {
		return ok
	}
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.slots.abandon(granted) {
		e.slots.release()
	}
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots.release()
}

// prefill waits for the time that processing the prompt takes; a cached prefix takes
// none. It returns false if the request is cancelled.
func (e *Engine) prefill(ctx context.Context, prompt string) bool {
	e.mu.Lock()
	cached := e.prefixes.use(PrefixHashes(prompt))
	rate := e.announcement.PrefillTokensPerSecond
	busy := e.slots.busy
	e.mu.Unlock()
	return e.wait(ctx, float64(PromptTokens(prompt))*(1-cached)*float64(busy), rate)
}

// waitToken waits for the time that one token takes; the requests of the batch share
// the engine's token rate. It returns false if the request is cancelled.
func (e *Engine) waitToken(ctx context.Context) bool {
	e.mu.Lock()
	rate := e.announcement.TokensPerSecond
	busy := e.slots.busy
	e.mu.Unlock()
	return e.wait(ctx, float64(max(1, busy)), rate)
}

// wait waits for the time that the tokens take at a rate in tokens per second; a rate
// of 0 takes no time. It returns false if the request is cancelled.
func (e *Engine) wait(ctx context.Context, tokens, rate float64) bool {
	if rate <= 0 || tokens <= 0 {
		return ctx.Err() == nil
	}
	return laburnumtimer.Wait(ctx.Done(), e.cfg.timers, time.Duration(tokens/rate*float64(time.Second)))
}
