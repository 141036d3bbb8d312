package laburnumgateway

import "sync/atomic"

const (
	// freeBuffer is the part of an answer, or of an event, in bytes, that is held without a share of the budget.
	freeBuffer = 64 << 10
	// defaultBufferBudget is the budget in bytes if the memory of the VM is not known.
	defaultBufferBudget = 32 << 20
)

// bufferBudget bounds the memory of all answers and events beyond freeBuffer that are held at once, since servers may send bytes
// without end.
type bufferBudget struct{ left atomic.Int64 }

func newBufferBudget(bytes int64) *bufferBudget {
	b := &bufferBudget{}
	b.left.Store(bytes)
	return b
}

// take takes a share of the budget, if there is as much, which give returns.
func (b *bufferBudget) take(bytes int64) bool {
	if b.left.Add(-bytes) >= 0 {
		return true
	}
	b.give(bytes)
	return false
}

func (b *bufferBudget) give(bytes int64) { b.left.Add(bytes) }

// WithBufferBudget sets the memory in bytes for large answers and events that are held at once. Beyond it large answers are passed on
// as they come, so that a broken one can't be retried, and streams with large events are cut.
func WithBufferBudget(bytes int64) Option {
	return func(g *Gateway) { g.buffers = newBufferBudget(bytes) }
}
