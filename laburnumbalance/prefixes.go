package laburnumbalance

import "laburnumlever"

// generationSize is the number of prompt parts after which a new generation starts. The current
// and the previous generation are kept, which bounds the memory.
const generationSize = 1 << 14

// partKey identifies a prompt part in an engine's cache. Engines cache by model and adapter, and
// lose the cache when they restart.
type partKey struct {
	backend     laburnumlever.BackendID
	incarnation uint64
	model       laburnumlever.ModelName
	adapter     laburnumlever.AdapterName
	id          uint64
}

func (q Query) cacheKey(to laburnumlever.Heartbeat, part laburnumlever.PromptPart) partKey {
	return partKey{backend: to.Backend, incarnation: to.Incarnation, model: q.Model, adapter: q.Adapter, id: part.ID}
}

// prefixes estimates which prompt parts each server has cached, from the prompts sent to it.
type prefixes struct {
	young, old map[partKey]struct{}
}

func newPrefixes() *prefixes {
	return &prefixes{young: map[partKey]struct{}{}, old: map[partKey]struct{}{}}
}

func (p *prefixes) add(to laburnumlever.Heartbeat, q Query) {
	if len(p.young) > generationSize {
		p.old, p.young = p.young, map[partKey]struct{}{}
	}
	for _, part := range q.Prompt {
		p.young[q.cacheKey(to, part)] = struct{}{}
	}
}

// forget takes back add for a prompt that was not sent: its last parts, with so many tokens, were not cached before.
func (p *prefixes) forget(to laburnumlever.Heartbeat, q Query, uncached int) {
	for i := len(q.Prompt) - 1; i >= 0 && uncached > 0; i-- {
		key := q.cacheKey(to, q.Prompt[i])
		delete(p.young, key)
		delete(p.old, key)
		uncached -= q.Prompt[i].Tokens
	}
}

// uncachedTokens returns the number of tokens after the cached prefix of the prompt.
func (p *prefixes) uncachedTokens(to laburnumlever.Heartbeat, q Query) int {
	tokens := 0
	cached := true
	for _, part := range q.Prompt {
		key := q.cacheKey(to, part)
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
