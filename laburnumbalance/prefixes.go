package laburnumbalance

import "laburnumlever"

// generationSize bounds the prompt parts remembered; two generations are kept.
const generationSize = 1 << 14

// cachedPart is the cache key of a prompt part: engines cache by model and adapter.
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

// prefixes estimates which prompt parts each server has cached, by what was sent there.
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

// missing returns the tokens after the cached prefix of the prompt.
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
