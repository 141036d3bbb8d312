package laburnumbalance

import "laburnumlever"

// generationSize bounds the parts remembered: two generations of this size hold
// the last prompts of a gateway for about a minute at a few hundred requests a
// second, longer than engines keep what is not used.
const generationSize = 1 << 14

// cachedPart names a part of a prompt as an engine has read it: with another model, or
// another adapter of it, the same part has to be read again.
type cachedPart struct {
	backend laburnumlever.BackendID
	born    uint64
	model   laburnumlever.ModelName
	adapter laburnumlever.AdapterName
	id      uint64
}

func (q Query) cached(to laburnumlever.Heartbeat, part laburnumlever.PromptPart) cachedPart {
	return cachedPart{backend: to.Backend, born: to.Born, model: q.Model, adapter: q.Adapter, id: part.ID}
}

// prefixes remembers which parts of prompts went to which server. It is right as
// long as the server has not dropped them; a wrong guess costs one reading.
type prefixes struct {
	young, old map[cachedPart]struct{}
}

func newPrefixes() *prefixes {
	return &prefixes{young: map[cachedPart]struct{}{}, old: map[cachedPart]struct{}{}}
}

func (p *prefixes) sent(to laburnumlever.Heartbeat, q Query) {
	if len(p.young) > generationSize {
		p.old, p.young = p.young, map[cachedPart]struct{}{}
	}
	for _, part := range q.Prompt {
		p.young[q.cached(to, part)] = struct{}{}
	}
}

// missing is how many tokens of the prompt the server has to read: all from the
// first part that it has not seen.
func (p *prefixes) missing(to laburnumlever.Heartbeat, q Query) int {
	tokens := 0
	cached := true
	for _, part := range q.Prompt {
		key := q.cached(to, part)
		if cached {
			_, young := p.young[key]
			_, old := p.old[key]
			cached = young || old
		}
		if !cached {
			tokens += part.Tokens
		}
	}
	return tokens
}
