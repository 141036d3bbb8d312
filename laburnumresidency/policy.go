package laburnumresidency

// Policy configures which changes the planner makes. Its methods return modified copies.
type Policy struct {
	evictShare float64
	displaces  bool
	fills      bool
	minGain    float64
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{evictShare: evictShare, displaces: true, fills: true, minGain: minGain}
}

// WithEvictShare returns the policy with another share: a copy is evicted for a new one only if its
// work is at most this share of the new one's work.
func (p Policy) WithEvictShare(share float64) Policy {
	p.evictShare = share
	return p
}

// WithDisplacement returns the policy with or without the eviction of last copies of models with
// requests in favour of busy models.
func (p Policy) WithDisplacement(displaces bool) Policy {
	p.displaces = displaces
	return p
}

// WithFill returns the policy with or without loads into free memory while nothing else is loading.
func (p Policy) WithFill(fills bool) Policy {
	p.fills = fills
	return p
}

// WithMinGain returns the policy with another least gain, in congestion, of a change that evicts
// copies in use.
func (p Policy) WithMinGain(gain float64) Policy {
	p.minGain = gain
	return p
}

// WithPolicy sets the policy of a round.
func WithPolicy(policy Policy) Option { return func(p *planner) { p.policy = policy } }
