package laburnumresidency

// Policy is how eagerly the planner changes what engines hold. It is a value.
type Policy struct {
	evictShare float64
	displaces  bool
	fills      bool
	minGain    float64
}

// DefaultPolicy is the policy in production.
func DefaultPolicy() Policy {
	return Policy{evictShare: evictShare, displaces: true, fills: true, minGain: minGain}
}

// WithEvictShare returns the policy with another share of a new copy's work up to which copies
// are evicted for it.
func (p Policy) WithEvictShare(share float64) Policy {
	p.evictShare = share
	return p
}

// WithDisplacement returns the policy with last copies of models that are asked for evicted for
// busy ones, or not.
func (p Policy) WithDisplacement(displaces bool) Policy {
	p.displaces = displaces
	return p
}

// WithFill returns the policy with free memory filled while nothing loads, or not.
func (p Policy) WithFill(fills bool) Policy {
	p.fills = fills
	return p
}

// WithMinGain returns the policy with another gain from which copies are evicted that callers
// ask for.
func (p Policy) WithMinGain(gain float64) Policy {
	p.minGain = gain
	return p
}

// WithPolicy sets the policy of a round.
func WithPolicy(policy Policy) Option { return func(p *planner) { p.policy = policy } }
