package laburnumstandin

import (
	"context"
	"slices"
	"time"

	"laburnumlever/laburnumtimer"

	"laburnumlever"
)

// prefixCacheSize is how many prefix hashes an engine keeps.
const prefixCacheSize = 128

// slots are the places of the batch and the requests that wait for one,
// interactive ones first.
type slots struct {
	size, queue int
	busy        int
	interactive []chan struct{}
	batch       []chan struct{}
}

func (s *slots) waiting() int { return len(s.interactive) + len(s.batch) }

// acquire takes a free slot (nil, true), or a place in the queue, or neither.
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

// release gives the slot to the next in the queue.
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

// abandon takes a waiting request out of the queue; false means that it has
// been given a slot in the meantime.
func (s *slots) abandon(granted chan struct{}) bool {
	before := s.waiting()
	same := func(other chan struct{}) bool { return other == granted }
	s.interactive = slices.DeleteFunc(s.interactive, same)
	s.batch = slices.DeleteFunc(s.batch, same)
	return s.waiting() < before
}

// prefixCache keeps the prompt prefixes seen last.
type prefixCache struct{ hashes []uint64 }

// use marks the prefixes as the most recent and returns the share of them that
// was cached.
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

// acquire waits for a slot. False means that the queue is full or the request was
// cancelled: it did not run.
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

// prefill waits while the prompt is read; a cached prefix takes no time.
func (e *Engine) prefill(ctx context.Context, prompt string) bool {
	e.mu.Lock()
	cached := e.prefixes.use(PrefixHashes(prompt))
	rate := e.announcement.PrefillTokensPerSecond
	busy := e.slots.busy
	e.mu.Unlock()
	return e.wait(ctx, float64(PromptTokens(prompt))*(1-cached)*float64(busy), rate)
}

// waitToken waits for one token: the batch shares the server's rate.
func (e *Engine) waitToken(ctx context.Context) bool {
	e.mu.Lock()
	rate := e.announcement.TokensPerSecond
	busy := e.slots.busy
	e.mu.Unlock()
	return e.wait(ctx, float64(max(1, busy)), rate)
}

// wait passes the time that the tokens take; a rate of 0 takes none. False means
// that the request was cancelled.
func (e *Engine) wait(ctx context.Context, tokens, rate float64) bool {
	if rate <= 0 || tokens <= 0 {
		return ctx.Err() == nil
	}
	return laburnumtimer.Wait(ctx.Done(), e.cfg.timers, time.Duration(tokens/rate*float64(time.Second)))
}
