package laburnumqueue

import (
	"slices"
	"time"

	"laburnumlever"
)

const (
	// DefaultSize bounds what waits on one VM. At the 100 starts a second that one
	// VM sees on a busy day it is ten seconds' work; more would only expire.
	DefaultSize = 1024
	// batchInterval gives every sixteenth place to waiting batch work: enough to move,
	// and one part in sixteen of slowness for interactive callers.
	batchInterval = 16
	// longFactor times the mean cost makes a request long. Prompts differ by a
	// factor of a hundred; four keeps ordinary ones together.
	longFactor = 4
	// meanWeight is the weight of the newest cost in the running mean.
	meanWeight = 0.02
)

// Item is a waiting request.
type Item struct {
	Owner laburnumlever.OwnerName
	// Key is the caller's key for fairness.
	Key string
	// Entry is the model or service, which room is asked for.
	Entry    string
	Priority laburnumlever.Priority
	// Cost in tokens, prompt and answer.
	Cost int
	// Deadline is when waiting on is of no use.
	Deadline time.Time
	// Tag is the owner's own.
	Tag any

	flow *flow
}

type flowID struct {
	owner    laburnumlever.OwnerName
	key      string
	entry    string
	priority laburnumlever.Priority
	long     bool
}

type flow struct {
	id           flowID
	virtualStart float64 // virtual time that the head counts from, fixed once it is the head
	items        []*Item
	cost         int
}

// Queue holds what waits on one VM.
type Queue struct {
	size          int
	length        int
	cost          int
	meanCost      float64
	virtualTime   float64
	pops          int
	flows         []*flow // with something waiting, in the order that they began to wait
	byID          map[flowID]*flow
	flowsPerOwner map[laburnumlever.OwnerName]int // flows with something waiting
}

// New returns a queue for at most size requests.
func New(size int) *Queue {
	return &Queue{size: size, byID: map[flowID]*flow{}, flowsPerOwner: map[laburnumlever.OwnerName]int{}}
}

// Len is how many requests wait.
func (q *Queue) Len() int { return q.length }

// Push lets an item wait. When the queue is full it returns the one that is given
// up for it, which may be the item itself.
func (q *Queue) Push(item *Item) (evicted *Item) {
	q.updateMeanCost(item.Cost)
	q.add(item)
	if q.length <= q.size {
		return nil
	}
	longest := slices.MaxFunc(q.flows, func(a, b *flow) int { return len(a.items) - len(b.items) })
	evicted = longest.items[len(longest.items)-1]
	q.remove(evicted)
	return evicted
}

func (q *Queue) updateMeanCost(cost int) {
	if q.meanCost == 0 {
		q.meanCost = float64(cost)
	}
	q.meanCost += meanWeight * (float64(cost) - q.meanCost)
}

func (q *Queue) flowIDOf(item *Item) flowID {
	return flowID{
		owner: item.Owner, key: item.Key, entry: item.Entry, priority: item.Priority,
		long: float64(item.Cost) > longFactor*q.meanCost,
	}
}

func (q *Queue) add(item *Item) {
	id := q.flowIDOf(item)
	f := q.byID[id]
	if f == nil {
		f = &flow{id: id, virtualStart: q.virtualTime}
		q.byID[id] = f
		q.flows = append(q.flows, f)
		q.flowsPerOwner[id.owner]++
	}
	item.flow = f
	f.items = append(f.items, item)
	f.cost += item.Cost
	q.length++
	q.cost += item.Cost
}

// remove takes an item out wherever it stands; one that does not wait is left.
func (q *Queue) remove(item *Item) bool {
	f := item.flow
	if f == nil {
		return false
	}
	i := slices.Index(f.items, item)
	f.items = slices.Delete(f.items, i, i+1)
	item.flow = nil
	f.cost -= item.Cost
	q.length--
	q.cost -= item.Cost
	if len(f.items) == 0 {
		delete(q.byID, f.id)
		q.flows = slices.DeleteFunc(q.flows, func(other *flow) bool { return other == f })
		q.flowsPerOwner[f.id.owner]--
	}
	return true
}

// Remove takes out an item whose caller is gone.
func (q *Queue) Remove(item *Item) bool { return q.remove(item) }

// Expire takes out all items whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var late []*Item
	for _, f := range q.flows {
		for _, item := range f.items {
			if !item.Deadline.After(now) {
				late = append(late, item)
			}
		}
	}
	for _, item := range late {
		q.remove(item)
	}
	return late
}

// Pop takes out the next item among those that there is room for; nil for none.
func (q *Queue) Pop(hasSlot func(*Item) bool) *Item {
	first, second := laburnumlever.Interactive, laburnumlever.Batch
	if (q.pops+1)%batchInterval == 0 {
		first, second = second, first
	}
	best := q.nextFlow(first, hasSlot)
	if best == nil {
		best = q.nextFlow(second, hasSlot)
	}
	if best == nil {
		return nil
	}
	q.pops++
	item := best.items[0]
	q.virtualTime = max(q.virtualTime, best.virtualStart)
	best.virtualStart = q.virtualFinish(best)
	q.remove(item)
	return item
}

func (q *Queue) virtualFinish(f *flow) float64 {
	// A flow's part of its owner's part: the more flows the owner has, the dearer.
	cost := float64(f.items[0].Cost * q.flowsPerOwner[f.id.owner])
	return f.virtualStart + cost
}

func (q *Queue) nextFlow(priority laburnumlever.Priority, hasSlot func(*Item) bool) *flow {
	var best *flow
	bestFinish := 0.0
	for _, f := range q.flows {
		if f.id.priority != priority {
			continue
		}
		finish := q.virtualFinish(f)
		if (best == nil || finish < bestFinish) && hasSlot(f.items[0]) {
			best, bestFinish = f, finish
		}
	}
	return best
}

// Ahead estimates the cost, in tokens, of what will be served before an item that
// comes now, its own included: its flow's part in a fair turn, and at most all that
// waits for the same entry.
func (q *Queue) Ahead(item *Item) int {
	own := item.Cost
	if f := q.byID[q.flowIDOf(item)]; f != nil {
		own += f.cost
	}
	waiting := item.Cost
	for _, f := range q.flows {
		if f.id.entry == item.Entry && f.id.priority <= item.Priority {
			waiting += min(f.cost, own)
		}
	}
	return waiting
}
