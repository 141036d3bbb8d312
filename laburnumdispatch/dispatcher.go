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
	// waitShare of the target may be spent waiting here. The rest is for the prefill
	// and for a short wait in an engine that other VMs have filled meanwhile.
	waitShare = 0.75
	// defaultWait holds for a class without a target.
	defaultWait = 10 * time.Second
)

// Request is what a decision needs to know.
type Request struct {
	Owner       laburnumlever.OwnerName
	OwnerLimits laburnumlever.Limits
	EntryLimits laburnumlever.Limits
	Key         string
	Model       laburnumlever.ModelName
	Service     laburnumlever.ServiceName
	Class       laburnumlever.Class
	Prefix      uint64
	Prompt      int
	Answer      int
	Received    time.Time
}

func (q *Request) entry() string {
	if q.Model != "" {
		return string(q.Model)
	}
	return string(q.Service)
}

func (q *Request) cost() int { return q.Prompt + q.Answer }

func (q *Request) deadline() time.Time {
	wait := time.Duration(q.Class.FirstToken)
	if wait == 0 {
		wait = defaultWait
	}
	return q.Received.Add(time.Duration(waitShare * float64(wait)))
}

// Ticket is a request's place in the decisions.
type Ticket struct {
	Request Request
	// Wake, if set, is called when waiting has ended: it is placed or Refusal is set.
	Wake func()
	// Backend is the server that the request goes to, as it announced itself when it
	// was chosen. The router's own record changes with every announcement, so one who
	// sends by it could mix an old address with a new one.
	Backend laburnumlever.Announcement
	// Refusal when it was given up while waiting.
	Refusal *laburnumlever.RefusalError
	// Attempts made, the present one included.
	Attempts int

	server    *laburnumrouter.Server
	admission laburnumadmission.Request
	query     laburnumrouter.Query
	item      *laburnumqueue.Item
	last      *laburnumrouter.Server
}

// Placed tells whether the request has a server, where it is already counted.
func (t *Ticket) Placed() bool { return t.server != nil }

// place notes the server that the request goes to.
func (t *Ticket) place(server *laburnumrouter.Server) {
	t.server = server
	t.Backend = server.Announcement()
}

// Waiting tells whether it is neither placed nor refused.
func (t *Ticket) Waiting() bool { return t.item != nil }

// Dispatcher decides for one VM.
type Dispatcher struct {
	admission *laburnumadmission.Admission
	queue     *laburnumqueue.Queue
	router    *laburnumrouter.Router
	budget    *laburnumretry.Budget
	paces     map[string]*pace // of each entry that something waits for
}

// New returns a dispatcher for a VM in the zone; the seed makes runs repeatable.
func New(zone laburnumlever.ZoneName, seed uint64) *Dispatcher {
	return &Dispatcher{
		admission: laburnumadmission.New(),
		queue:     laburnumqueue.New(laburnumqueue.DefaultSize),
		router:    laburnumrouter.New(zone, seed),
		budget:    laburnumretry.NewBudget(),
		paces:     map[string]*pace{},
	}
}

// Update takes a new index and this VM's share of the limits.
func (d *Dispatcher) Update(ix *laburnumrouter.Index, share laburnumadmission.Share, now time.Time) {
	d.router.Update(ix)
	d.admission.SetShare(share)
	d.start(now)
}

// Waiting is how many requests wait.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// Submit lets a request in: afterwards it is placed or it waits. Else the error
// is a *laburnumlever.RefusalError and there is nothing to finish.
func (d *Dispatcher) Submit(t *Ticket, now time.Time) error {
	q := &t.Request
	t.query = laburnumrouter.Query{Model: q.Model, Service: q.Service, Prefix: q.Prefix}
	if !d.router.Known(t.query) {
		return t.refusal(laburnumlever.RefusedNoBackend, time.Second, "no backend server takes work for it now")
	}
	t.admission = laburnumadmission.Request{
		Owner: q.Owner, OwnerLimits: q.OwnerLimits, Entry: q.entry(), EntryLimits: q.EntryLimits, Tokens: q.cost(),
	}
	if err := d.admission.Admit(now, t.admission); err != nil {
		return err
	}
	d.budget.FirstAttempt()
	if d.queue.Len() == 0 && d.router.HasRoom(t.query, now) {
		d.send(t, now)
		return nil
	}
	if err := d.wait(t, now); err != nil {
		d.admission.Release(now, t.admission, 0)
		return err
	}
	d.start(now)
	return nil
}

// wait puts the request into the queue unless its turn would come too late.
func (d *Dispatcher) wait(t *Ticket, now time.Time) error {
	q := &t.Request
	item := &laburnumqueue.Item{
		Owner: q.Owner, Key: q.Key, Entry: q.entry(), Priority: q.Class.Priority,
		Cost: q.cost(), Deadline: q.deadline(), Tag: t,
	}
	turn := d.turn(item)
	if now.Add(turn).After(item.Deadline) {
		return t.refusal(laburnumlever.RefusedDeadline, turn, "its turn would come after its deadline")
	}
	t.item = item
	if evicted := d.queue.Push(item); evicted != nil {
		loser := evicted.Tag.(*Ticket) //nolint:forcetypeassert // only tickets are pushed
		loser.item = nil
		refusal := loser.refusal(laburnumlever.RefusedQueueFull, turn, "the queue is full")
		if loser == t {
			return refusal
		}
		d.giveUp(loser, refusal, now)
	}
	return nil
}

// turn is how long the item is likely to wait; 0 while nothing tells.
func (d *Dispatcher) turn(item *laburnumqueue.Item) time.Duration {
	ahead := d.queue.Ahead(item)
	if ahead == item.Cost {
		delete(d.paces, item.Entry) // nothing waited: the old measure is over
	}
	p := d.paces[item.Entry]
	if p == nil {
		return 0
	}
	return p.wait(ahead)
}

func (d *Dispatcher) started(item *laburnumqueue.Item, now time.Time) {
	p := d.paces[item.Entry]
	if p == nil {
		p = &pace{}
		d.paces[item.Entry] = p
	}
	p.started(item.Cost, now)
}

// Tick gives up what has waited too long and starts what there is room for.
func (d *Dispatcher) Tick(now time.Time) {
	for _, item := range d.queue.Expire(now) {
		t := item.Tag.(*Ticket) //nolint:forcetypeassert // only tickets are pushed
		t.item = nil
		d.giveUp(t, t.refusal(laburnumlever.RefusedQueueTimeout, time.Second, "it waited until its deadline"), now)
	}
	d.start(now)
}

func (d *Dispatcher) giveUp(t *Ticket, refusal *laburnumlever.RefusalError, now time.Time) {
	t.Refusal = refusal
	d.admission.Release(now, t.admission, 0)
	if t.Wake != nil {
		t.Wake()
	}
}

// start sends waiting requests while there is room.
func (d *Dispatcher) start(now time.Time) {
	for d.queue.Len() > 0 {
		full := map[string]bool{}
		item := d.queue.Pop(func(i *laburnumqueue.Item) bool { return d.room(i, full, now) })
		if item == nil {
			return
		}
		t := item.Tag.(*Ticket) //nolint:forcetypeassert // only tickets are pushed
		t.item = nil
		d.started(item, now)
		d.send(t, now)
		if t.Wake != nil {
			t.Wake()
		}
	}
	clear(d.paces)
}

// room asks once for each entry in a search.
func (d *Dispatcher) room(i *laburnumqueue.Item, full map[string]bool, now time.Time) bool {
	if full[i.Entry] {
		return false
	}
	t := i.Tag.(*Ticket) //nolint:forcetypeassert // only tickets are pushed
	if d.router.HasRoom(t.query, now) {
		return true
	}
	full[i.Entry] = true
	return false
}

func (d *Dispatcher) send(t *Ticket, now time.Time) bool {
	server, ok := d.router.Pick(t.query, now)
	if !ok {
		t.server = nil
		return false
	}
	server.Begin(now)
	t.place(server)
	t.Attempts++
	return true
}

// EndAttempt frees the place on the server and learns from the attempt.
func (d *Dispatcher) EndAttempt(t *Ticket, sample laburnumrouter.Sample, now time.Time) {
	if t.server == nil {
		return
	}
	t.query.Avoid = t.server.ID()
	t.last = t.server
	t.server.End(sample, now)
	t.server = nil
	d.start(now)
}

// Retry asks for another attempt after a failure: decision Retry means that it
// is placed. A stream is resumed on the server that has it, which needs no new place.
func (d *Dispatcher) Retry(t *Ticket, s laburnumretry.FailedRequest, now time.Time) (laburnumlever.RetryReason, laburnumretry.Decision) {
	s.Attempts = t.Attempts
	reason, decision := d.budget.Decide(s)
	if decision != laburnumretry.Retry {
		return reason, decision
	}
	if reason == laburnumlever.RetryStreamResumed {
		t.last.Begin(now)
		t.place(t.last)
		t.Attempts++
		return reason, decision
	}
	if !d.send(t, now) {
		return reason, laburnumretry.GiveUp
	}
	return reason, decision
}

// Finish ends a request that Submit let in; used is its true cost in tokens. One
// that still waits is taken out: its caller is gone.
func (d *Dispatcher) Finish(t *Ticket, used int, now time.Time) {
	if t.Refusal != nil {
		return // giveUp has released it
	}
	if t.item != nil {
		d.queue.Remove(t.item)
		t.item = nil
	}
	d.admission.Release(now, t.admission, used)
	d.start(now)
}

func (t *Ticket) refusal(reason laburnumlever.RefusalReason, after time.Duration, detail string) *laburnumlever.RefusalError {
	return &laburnumlever.RefusalError{
		Reason: reason, Outcome: laburnumlever.OutcomeNotRun, Owner: t.Request.Owner, Subject: t.Request.entry(),
		RetryAfter: after, Detail: detail,
	}
}
