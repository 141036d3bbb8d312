package laburnumspread

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
	loop    laburnumlever.Loop
	timers  laburnumlever.Timers
	peers   laburnumlever.Peers
	vms     func() []laburnumlever.VM
	self    laburnumlever.VMID
	logger  log.Logger
	scope   tally.Scope
	core    *core
	onNewer []func(laburnumlever.Catalogue)
	stop    func()
}

var _ laburnumlever.Part = (*Distributor)(nil)

// Option configures a Distributor.
type Option func(*Distributor)

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger log.Logger) Option { return func(s *Distributor) { s.logger = logger } }

// WithScope sets the scope for metrics; the default discards them.
func WithScope(scope tally.Scope) Option { return func(s *Distributor) { s.scope = scope } }

// WithSelf sets this VM's id, so that it sends no offers to itself.
func WithSelf(self laburnumlever.VMID) Option { return func(s *Distributor) { s.self = self } }

// WithRandomSeed makes the choice of VMs reproducible.
func WithRandomSeed(seed uint64) Option {
	return func(s *Distributor) { s.core.random = newRandom(seed) }
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // choice of partners, no secret
}

// New creates a distributor without a catalogue and registers its handlers with peers. vms
// returns the known VMs and is called on the control thread.
func New(loop laburnumlever.Loop, timers laburnumlever.Timers, peers laburnumlever.Peers, vms func() []laburnumlever.VM, opts ...Option) *Distributor {
	s := &Distributor{
		loop:   loop,
		timers: timers,
		peers:  peers,
		vms:    vms,
		logger: log.NewNopLogger(),
		scope:  tally.NoopScope,
		core:   &core{random: newRandom(rand.Uint64())},
	}
	for _, opt := range opts {
		opt(s)
	}
	peers.Handle(methodOffer, s.handleOffer)
	peers.Handle(methodPush, s.handlePush)
	peers.Handle(methodPull, s.handlePull)
	return s
}

// OnNewRevision adds a function that is called on the control thread with each revision that
// takes effect on this VM.
func (s *Distributor) OnNewRevision(fn func(laburnumlever.Catalogue)) {
	s.onNewer = append(s.onNewer, fn)
}

// Start begins to compare revisions with other VMs.
func (s *Distributor) Start() {
	s.stop = s.timers.Every(tickPeriod, func(now time.Time) { s.loop.Post(s, ticked{now: now}) })
}

// Close stops the periodic work.
func (s *Distributor) Close() {
	if s.stop != nil {
		s.stop()
	}
}

// Publish hands in a committed catalogue. A catalogue that is not newer than the current one is
// ignored. Control thread only.
func (s *Distributor) Publish(c laburnumlever.Catalogue) { s.adopt(&catalogueBody{catalogue: c}) }

// Catalogue returns the current catalogue, or false if there is none yet. Control thread only.
func (s *Distributor) Catalogue() (laburnumlever.Catalogue, bool) {
	if s.core.current == nil {
		return laburnumlever.Catalogue{}, false
	}
	return s.core.current.catalogue, true
}

// Handle handles an event on the control thread.
func (s *Distributor) Handle(ev laburnumlever.Event) {
	now := s.timers.Now()
	switch e := ev.(type) {
	case ticked:
		s.core.tick(now, s.others())
	case offerReceived:
		e.answer <- s.core.handleOffer(e.offer, now)
	case offerAnswered:
		s.core.handleOfferAnswer(e.address, e.answer, now)
	case bodyReceived:
		s.adopt(e.body)
	case pullRequested:
		e.answer <- s.core.current
	default:
		_ = level.Error(s.logger).Log("event", laburnumlever.EventUnknownEvent, "name", ev.EventName())
	}
	s.send()
}

func (s *Distributor) adopt(b *catalogueBody) {
	if !s.core.adopt(b, s.others()) {
		return
	}
	_ = level.Info(s.logger).Log("event", laburnumlever.EventCatalogueInForce, "revision", b.catalogue.Revision)
	s.scope.Gauge("catalogue-revision").Update(float64(b.catalogue.Revision))
	for _, fn := range s.onNewer {
		fn(b.catalogue)
	}
	s.send()
}

func (s *Distributor) others() []laburnumlever.VM {
	all := s.vms()
	out := make([]laburnumlever.VM, 0, len(all))
	for _, vm := range all {
		if vm.ID != s.self {
			out = append(out, vm)
		}
	}
	return out
}

func (s *Distributor) send() {
	for _, m := range s.core.drainOutbox() {
		go s.call(m)
	}
}

// call sends one message and posts the result. A failed call is not repeated: the next
// comparison makes up for it.
func (s *Distributor) call(m message) {
	if m.method == methodOffer {
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		defer cancel()
		var answer offerAnswer
		if s.peers.Call(ctx, m.address, methodOffer, m.offer, &answer) == nil {
			s.loop.Post(s, offerAnswered{address: m.address, answer: answer})
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), bodyTimeout)
	defer cancel()
	if err := s.transfer(ctx, m); err != nil {
		s.scope.Counter("catalogue-failed-transfers").Inc(1)
		_ = level.Warn(s.logger).Log("event", m.method, "address", m.address, "error", err)
	}
}

func (s *Distributor) transfer(ctx context.Context, m message) error {
	if m.method == methodPush {
		e, err := m.body.envelope()
		if err != nil {
			return err
		}
		return s.peers.Call(ctx, m.address, methodPush, e, nil)
	}
	var e envelope
	if err := s.peers.Call(ctx, m.address, methodPull, struct{}{}, &e); err != nil {
		return err
	}
	return s.receive(e)
}

func (s *Distributor) receive(e envelope) error {
	b, err := e.unpack()
	if err != nil {
		return err
	}
	s.loop.Post(s, bodyReceived{body: b})
	return nil
}

func (s *Distributor) handleOffer(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var o offer
	if err := json.Unmarshal(params, &o); err != nil {
		return nil, errors.Wrap(err, "offer")
	}
	answer := make(chan offerAnswer, 1)
	s.loop.Post(s, offerReceived{offer: o, answer: answer})
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *Distributor) handlePush(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var e envelope
	if err := json.Unmarshal(params, &e); err != nil {
		return nil, errors.Wrap(err, "push")
	}
	return struct{}{}, s.receive(e)
}

func (s *Distributor) handlePull(ctx context.Context, _ laburnumlever.RawMessage) (any, error) {
	answer := make(chan *catalogueBody, 1)
	s.loop.Post(s, pullRequested{answer: answer})
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
