package laburnumqueue

import (
	"slices"
	"time"

	"laburnumlever"
)

const (
	// DefaultSize is the usual size of a VM's queue. At 100 starts per second, the rate of one
	// VM on a busy day, it holds ten seconds of work; more requests would only expire.
	DefaultSize = 1024
	// batchInterval gives every sixteenth slot to queued batch requests: enough to progress,
	// at the cost of a sixteenth of the slots for interactive requests.
	batchInterval = 16
	// longFactor times the mean cost is the limit above which a request is long. Prompts
	// differ by a factor of a hundred; four keeps ordinary ones in the same flow.
	longFactor = 4
	// meanWeight is the weight of the newest cost in the moving average.
	meanWeight = 0.02
)

// Item is a queued request.
type Item struct {
	Owner laburnumlever.OwnerName
	// Key identifies the caller for fair sharing.
	Key string
	// Entry is the catalogue entry, a model or service, whose servers have slots.
	Entry    string
	Priority laburnumlever.Priority
	// Cost is the number of prompt and answer tokens.
	Cost int
	// Deadline is when the item expires.
	Deadline time.Time
	// Value is for the user of the queue, which does not use it itself.
	Value any

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
	virtualStart float64 // virtual start time of the head, fixed when it becomes the head
	items        []*Item
	cost         int
}

// Queue holds the queued requests of one VM.
type Queue struct {
	size          int
	length        int
	cost          int
	meanCost      float64
	virtualTime   float64
	pops          int
	flows         []*flow // non-empty flows in order of creation
	byID          map[flowID]*flow
	flowsPerOwner map[laburnumlever.OwnerName]int // number of non-empty flows
}

// New returns a queue of at most size requests.
func New(size int) *Queue {
	return &Queue{size: size, byID: map[flowID]*flow{}, flowsPerOwner: map[laburnumlever.OwnerName]int{}}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.length }

// Push adds an item. When the queue is full, it returns the item that was evicted, which may
// be the new one.
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

// remove removes an item at any position. It returns false when the item is not queued.
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

// Remove removes an item whose caller is gone. It returns false when the item is not queued.
func (q *Queue) Remove(item *Item) bool { return q.remove(item) }

// Expire removes and returns all items whose deadline has passed.
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

// Pop removes and returns the next item for which hasSlot returns true; nil for none.
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
	// The cost is multiplied by the owner's number of flows, which share the owner's part.
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

// CostAhead estimates the cost, in tokens, of the work up to and including an item that is
// pushed now. Every flow of the same entry counts with its queued cost, but with no more
// than the item's own flow, because flows share the slots fairly.
func (q *Queue) CostAhead(item *Item) int {
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
