package laburnumdispatch

import (
	"time"

	"laburnumlever"
	"laburnumlever/laburnumadmission"
	"laburnumlever/laburnumqueue"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumrouter"
)

const (
	// maxWaitFraction of the first-token target may be spent in the queue. The rest is for
	// the prefill and a short wait in an engine that other VMs have filled meanwhile.
	maxWaitFraction = 0.75
	// defaultFirstTokenTarget applies to classes without a target.
	defaultFirstTokenTarget = 10 * time.Second
)

// Request holds the properties of a request that decisions depend on. Prompt and Answer
// are estimates in tokens.
type Request struct {
	Owner        laburnumlever.OwnerName
	OwnerLimits  laburnumlever.Limits
	EntryLimits  laburnumlever.Limits
	Key          string
	Model        laburnumlever.ModelName
	Service      laburnumlever.ServiceName
	Class        laburnumlever.Class
	Prefix       uint64
	PromptTokens int
	AnswerTokens int
	Received     time.Time
}

func (q *Request) entry() string {
	if q.Model != "" {
		return string(q.Model)
	}
	return string(q.Service)
}

func (q *Request) cost() int { return q.PromptTokens + q.AnswerTokens }

func (q *Request) deadline() time.Time {
	wait := time.Duration(q.Class.FirstToken)
	if wait == 0 {
		wait = defaultFirstTokenTarget
	}
	return q.Received.Add(time.Duration(maxWaitFraction * float64(wait)))
}

// Ticket is the dispatcher's state for one request.
type Ticket struct {
	Request Request
	// Wake, if set, is called when the request leaves the queue: it is assigned to a server
	// or Refusal is set.
	Wake func()
	// Backend is the announcement of the assigned server at the time of the assignment. It
	// is a copy because the router's record changes with every announcement: a sender that
	// reads it could mix an old address with a new one.
	Backend laburnumlever.Announcement
	// Refusal is set when the request was refused while queued.
	Refusal *laburnumlever.RefusalError
	// Attempts counts the attempts, including the current one.
	Attempts int

	server     *laburnumrouter.Server
	admission  laburnumadmission.Request
	query      laburnumrouter.Query
	item       *laburnumqueue.Item
	lastServer *laburnumrouter.Server
}

// Assigned reports whether the request is assigned to a server and occupies a slot there.
func (t *Ticket) Assigned() bool { return t.server != nil }

// setServer assigns the request to a server.
func (t *Ticket) setServer(server *laburnumrouter.Server) {
	t.server = server
	t.Backend = server.Announcement()
}

// Queued reports whether the request is in the queue.
func (t *Ticket) Queued() bool { return t.item != nil }

// Dispatcher admits, queues and routes the requests of one VM.
type Dispatcher struct {
	admission  *laburnumadmission.Admission
	queue      *laburnumqueue.Queue
	router     *laburnumrouter.Router
	budget     *laburnumretry.Budget
	startRates map[string]*startRate // by catalogue entry, for entries with queued requests
}

// New returns a dispatcher for a VM in the zone. The seed makes runs reproducible.
func New(zone laburnumlever.ZoneName, seed uint64) *Dispatcher {
	return &Dispatcher{
		admission:  laburnumadmission.New(),
		queue:      laburnumqueue.New(laburnumqueue.DefaultSize),
		router:     laburnumrouter.New(zone, seed),
		budget:     laburnumretry.NewBudget(),
		startRates: map[string]*startRate{},
	}
}

// Update sets a new index and this VM's share of the limits.
func (d *Dispatcher) Update(ix *laburnumrouter.Index, share laburnumadmission.Share, now time.Time) {
	d.router.Update(ix)
	d.admission.SetShare(share)
	d.startQueued(now)
}

// QueueLen returns the number of queued requests.
func (d *Dispatcher) QueueLen() int { return d.queue.Len() }

// Submit admits a request and assigns it to a server or queues it. Otherwise it returns a
// *laburnumlever.RefusalError, and Finish must not be called.
func (d *Dispatcher) Submit(t *Ticket, now time.Time) error {
	q := &t.Request
	t.query = laburnumrouter.Query{Model: q.Model, Service: q.Service, Prefix: q.Prefix}
	if !d.router.HasServer(t.query) {
		return t.refusal(laburnumlever.RefusedNoBackend, time.Second, "no backend server takes work for it now")
	}
	t.admission = laburnumadmission.Request{
		Owner: q.Owner, OwnerLimits: q.OwnerLimits, Entry: q.entry(), EntryLimits: q.EntryLimits, Tokens: q.cost(),
	}
	if err := d.admission.Admit(now, t.admission); err != nil {
		return err
	}
	d.budget.FirstAttempt()
	if d.queue.Len() == 0 && d.router.HasFreeSlot(t.query, now) {
		d.assign(t, now)
		return nil
	}
	if err := d.enqueue(t, now); err != nil {
		d.admission.Release(now, t.admission, 0)
		return err
	}
	d.startQueued(now)
	return nil
}

// enqueue queues the request unless its expected wait exceeds its deadline.
func (d *Dispatcher) enqueue(t *Ticket, now time.Time) error {
	q := &t.Request
	item := &laburnumqueue.Item{
		Owner: q.Owner, Key: q.Key, Entry: q.entry(), Priority: q.Class.Priority,
		Cost: q.cost(), Deadline: q.deadline(), Value: t,
	}
	turn := d.expectedWait(item)
	if now.Add(turn).After(item.Deadline) {
		return t.refusal(laburnumlever.RefusedDeadline, turn, "its turn would come after its deadline")
	}
	t.item = item
	if evicted := d.queue.Push(item); evicted != nil {
		loser := evicted.Value.(*Ticket) //nolint:forcetypeassert // only tickets are pushed
		loser.item = nil
		refusal := loser.refusal(laburnumlever.RefusedQueueFull, turn, "the queue is full")
		if loser == t {
			return refusal
		}
		d.refuseQueued(loser, refusal, now)
	}
	return nil
}

// expectedWait estimates the item's time in the queue; 0 while the start rate is unknown.
func (d *Dispatcher) expectedWait(item *laburnumqueue.Item) time.Duration {
	ahead := d.queue.CostAhead(item)
	if ahead == item.Cost {
		delete(d.startRates, item.Entry) // no request was queued for the entry, so the old measurement is invalid
	}
	p := d.startRates[item.Entry]
	if p == nil {
		return 0
	}
	return p.expectedWait(ahead)
}

func (d *Dispatcher) recordStart(item *laburnumqueue.Item, now time.Time) {
	p := d.startRates[item.Entry]
	if p == nil {
		p = &startRate{}
		d.startRates[item.Entry] = p
	}
	p.record(item.Cost, now)
}

// Tick refuses queued requests whose deadline has passed and assigns others to free slots.
func (d *Dispatcher) Tick(now time.Time) {
	for _, item := range d.queue.Expire(now) {
		t := item.Value.(*Ticket) //nolint:forcetypeassert // only tickets are pushed
		t.item = nil
		d.refuseQueued(t, t.refusal(laburnumlever.RefusedQueueTimeout, time.Second, "it waited until its deadline"), now)
	}
	d.startQueued(now)
}

func (d *Dispatcher) refuseQueued(t *Ticket, refusal *laburnumlever.RefusalError, now time.Time) {
	t.Refusal = refusal
	d.admission.Release(now, t.admission, 0)
	if t.Wake != nil {
		t.Wake()
	}
}

// startQueued assigns queued requests to servers while there are free slots.
func (d *Dispatcher) startQueued(now time.Time) {
	for d.queue.Len() > 0 {
		full := map[string]bool{}
		item := d.queue.Pop(func(i *laburnumqueue.Item) bool { return d.hasFreeSlot(i, full, now) })
		if item == nil {
			return
		}
		t := item.Value.(*Ticket) //nolint:forcetypeassert // only tickets are pushed
		t.item = nil
		d.recordStart(item, now)
		d.assign(t, now)
		if t.Wake != nil {
			t.Wake()
		}
	}
	clear(d.startRates)
}

// hasFreeSlot reports whether the item's entry has a free slot. full caches the entries
// that have none during one search.
func (d *Dispatcher) hasFreeSlot(i *laburnumqueue.Item, full map[string]bool, now time.Time) bool {
	if full[i.Entry] {
		return false
	}
	t := i.Value.(*Ticket) //nolint:forcetypeassert // only tickets are pushed
	if d.router.HasFreeSlot(t.query, now) {
		return true
	}
	full[i.Entry] = true
	return false
}

func (d *Dispatcher) assign(t *Ticket, now time.Time) bool {
	server, ok := d.router.Pick(t.query, now)
	if !ok {
		t.server = nil
		return false
	}
	server.Begin(now)
	t.setServer(server)
	t.Attempts++
	return true
}

// EndAttempt frees the slot on the server and records how the attempt went.
func (d *Dispatcher) EndAttempt(t *Ticket, sample laburnumrouter.Sample, now time.Time) {
	if t.server == nil {
		return
	}
	t.query.Avoid = t.server.ID()
	t.lastServer = t.server
	t.server.End(sample, now)
	t.server = nil
	d.startQueued(now)
}

// Retry decides on another attempt after a failure. With the decision Retry the request is
// assigned to a server. A stream is resumed on its last server even if that has no free
// slot.
func (d *Dispatcher) Retry(t *Ticket, f laburnumretry.FailedRequest, now time.Time) (laburnumlever.RetryReason, laburnumretry.Decision) {
	f.Attempts = t.Attempts
	reason, decision := d.budget.Decide(f)
	if decision != laburnumretry.Retry {
		return reason, decision
	}
	if reason == laburnumlever.RetryStreamResumed {
		t.lastServer.Begin(now)
		t.setServer(t.lastServer)
		t.Attempts++
		return reason, decision
	}
	if !d.assign(t, now) {
		return reason, laburnumretry.GiveUp
	}
	return reason, decision
}

// Finish ends a request that Submit admitted; used is its actual cost in tokens. A request
// that is still queued, because its caller is gone, is removed from the queue.
func (d *Dispatcher) Finish(t *Ticket, used int, now time.Time) {
	if t.Refusal != nil {
		return // refuseQueued has released it
	}
	if t.item != nil {
		d.queue.Remove(t.item)
		t.item = nil
	}
	d.admission.Release(now, t.admission, used)
	d.startQueued(now)
}

func (t *Ticket) refusal(reason laburnumlever.RefusalReason, after time.Duration, detail string) *laburnumlever.RefusalError {
	return &laburnumlever.RefusalError{
		Reason: reason, Outcome: laburnumlever.OutcomeNotRun, Owner: t.Request.Owner, Subject: t.Request.entry(),
		RetryAfter: after, Detail: detail,
	}
}
