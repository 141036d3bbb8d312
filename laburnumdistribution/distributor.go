package laburnumdistribution

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"laburnumlever"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// Distributor owns the catalogue in effect on this VM and distributes new revisions to other
// VMs. It runs on the control thread.
type Distributor struct {
	loop          laburnumlever.Loop
	timers        laburnumlever.Timers
	peers         laburnumlever.Peers
	vms           func() []laburnumlever.VM
	self          laburnumlever.VMID
	logger        log.Logger
	scope         tally.Scope
	core          *core
	onNewRevision []func(laburnumlever.Catalogue)
	stop          func()
}

var _ laburnumlever.Part = (*Distributor)(nil)

// Option configures a Distributor.
type Option func(*Distributor)

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger log.Logger) Option { return func(d *Distributor) { d.logger = logger } }

// WithScope sets the scope for metrics; the default discards them.
func WithScope(scope tally.Scope) Option { return func(d *Distributor) { d.scope = scope } }

// WithSelf sets this VM's id, so that it sends no offers to itself.
func WithSelf(self laburnumlever.VMID) Option { return func(d *Distributor) { d.self = self } }

// WithRandomSeed makes the choice of VMs reproducible.
func WithRandomSeed(seed uint64) Option {
	return func(d *Distributor) { d.core.random = newRandom(seed) }
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // choice of partners, no secret
}

// New creates a distributor without a catalogue and registers its handlers with peers. vms
// returns the known VMs and is called on the control thread.
func New(loop laburnumlever.Loop, timers laburnumlever.Timers, peers laburnumlever.Peers, vms func() []laburnumlever.VM, opts ...Option) *Distributor {
	d := &Distributor{
		loop:   loop,
		timers: timers,
		peers:  peers,
		vms:    vms,
		logger: log.NewNopLogger(),
		scope:  tally.NoopScope,
		core:   &core{random: newRandom(rand.Uint64())},
	}
	for _, opt := range opts {
		opt(d)
	}
	peers.Handle(methodOffer, d.handleOffer)
	peers.Handle(methodPush, d.handlePush)
	peers.Handle(methodPull, d.handlePull)
	return d
}

// OnNewRevision adds a function that is called on the control thread with each revision that
// takes effect on this VM.
func (d *Distributor) OnNewRevision(fn func(laburnumlever.Catalogue)) {
	d.onNewRevision = append(d.onNewRevision, fn)
}

// Start begins to compare revisions with other VMs.
func (d *Distributor) Start() {
	d.stop = d.timers.Every(tickPeriod, func(now time.Time) { d.loop.Post(d, ticked{now: now}) })
}

// Close stops the periodic work.
func (d *Distributor) Close() {
	if d.stop != nil {
		d.stop()
	}
}

// Publish hands in a committed catalogue. A catalogue that is not newer than the current one is
// ignored. Control thread only.
func (d *Distributor) Publish(c laburnumlever.Catalogue) { d.adopt(&catalogueBody{catalogue: c}) }

// Catalogue returns the current catalogue, or false if there is none yet. Control thread only.
func (d *Distributor) Catalogue() (laburnumlever.Catalogue, bool) {
	if d.core.current == nil {
		return laburnumlever.Catalogue{}, false
	}
	return d.core.current.catalogue, true
}

// Handle handles an event on the control thread.
func (d *Distributor) Handle(ev laburnumlever.Event) {
	now := d.timers.Now()
	switch e := ev.(type) {
	case ticked:
		d.core.tick(now, d.others())
	case offerReceived:
		e.answer <- d.core.handleOffer(e.offer, now)
	case offerAnswered:
		d.core.handleOfferAnswer(e.address, e.answer, now)
	case bodyReceived:
		d.adopt(e.body)
	case pullRequested:
		e.answer <- d.core.current
	default:
		_ = level.Error(d.logger).Log("event", laburnumlever.EventUnknownEvent, "name", ev.EventName())
	}
	d.send()
}

func (d *Distributor) adopt(b *catalogueBody) {
	if !d.core.adopt(b, d.others()) {
		return
	}
	_ = level.Info(d.logger).Log("event", laburnumlever.EventCatalogueInEffect, "revision", b.catalogue.Revision)
	d.scope.Gauge("catalogue-revision").Update(float64(b.catalogue.Revision))
	for _, fn := range d.onNewRevision {
		fn(b.catalogue)
	}
	d.send()
}

func (d *Distributor) others() []laburnumlever.VM {
	all := d.vms()
	out := make([]laburnumlever.VM, 0, len(all))
	for _, vm := range all {
		if vm.ID != d.self {
			out = append(out, vm)
		}
	}
	return out
}

func (d *Distributor) send() {
	for _, m := range d.core.drainOutbox() {
		go d.call(m)
	}
}

// call sends one message and posts the result. A failed call is not repeated: the next
// comparison makes up for it.
func (d *Distributor) call(m message) {
	if m.method == methodOffer {
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		defer cancel()
		var answer offerAnswer
		if d.peers.Call(ctx, m.address, methodOffer, m.offer, &answer) == nil {
			d.loop.Post(d, offerAnswered{address: m.address, answer: answer})
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), bodyTimeout)
	defer cancel()
	if err := d.transfer(ctx, m); err != nil {
		d.scope.Counter("catalogue-failed-transfers").Inc(1)
		_ = level.Warn(d.logger).Log("event", m.method, "address", m.address, "error", err)
	}
}

func (d *Distributor) transfer(ctx context.Context, m message) error {
	if m.method == methodPush {
		e, err := m.body.envelope()
		if err != nil {
			return err
		}
		return d.peers.Call(ctx, m.address, methodPush, e, nil)
	}
	var e envelope
	if err := d.peers.Call(ctx, m.address, methodPull, struct{}{}, &e); err != nil {
		return err
	}
	return d.receive(e)
}

func (d *Distributor) receive(e envelope) error {
	b, err := e.unpack()
	if err != nil {
		return err
	}
	d.loop.Post(d, bodyReceived{body: b})
	return nil
}

func (d *Distributor) handleOffer(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var o offer
	if err := json.Unmarshal(params, &o); err != nil {
		return nil, errors.Wrap(err, "offer")
	}
	answer := make(chan offerAnswer, 1)
	d.loop.Post(d, offerReceived{offer: o, answer: answer})
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (d *Distributor) handlePush(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var e envelope
	if err := json.Unmarshal(params, &e); err != nil {
		return nil, errors.Wrap(err, "push")
	}
	return struct{}{}, d.receive(e)
}

func (d *Distributor) handlePull(ctx context.Context, _ laburnumlever.RawMessage) (any, error) {
	answer := make(chan *catalogueBody, 1)
	d.loop.Post(d, pullRequested{answer: answer})
	select {
	case b := <-answer:
		if b == nil {
			return nil, &NoCatalogueError{}
		}
		return b.envelope()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
