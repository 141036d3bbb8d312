package laburnumfeed

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// askTimeout is holdTime with a margin for a slow VM.
	askTimeout = 3 * time.Second
	// retryPause is between two polls after a failure: short beside the two seconds in which a
	// leaving backend server must be known.
	retryPause = 200 * time.Millisecond
	// startPause is the same for a VM that can't serve yet, for lack of routes.
	startPause = 50 * time.Millisecond
	// routesTimeout bounds one fetch of the routes.
	routesTimeout = 2 * time.Second
)

// Sink receives what a follower learns, on any goroutine.
type Sink interface {
	// Learn receives an answer of the control VM at the address.
	Learn(address string, a Answer)
	// Lost is called when the control VM at the address stops answering.
	Lost(address string)
	// LearnRoutes receives a route table.
	LearnRoutes(t laburnumlever.RouteTable)
	// RoutesVersion is the current version; 0 for none.
	RoutesVersion() uint64
	// News is the gateway's report to the director.
	News() laburnumlever.GatewayNews
}

// Follower polls all control VMs that it knows of.
type Follower struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers
	self   laburnumlever.VM
	sink   Sink
	logger log.Logger
	done   chan struct{}
	once   sync.Once

	mu        sync.Mutex
	following map[string]*followed
	addresses map[laburnumlever.VMID]string
	director  laburnumlever.VMID
	fetching  bool
}

// followed is one control VM that is polled.
type followed struct {
	standing
	// chosen is set if it is polled for endpoint state too.
	chosen bool
	// boot and cursor are those of its last answer; recordsTo is the cursor up to which it has sent
	// endpoint state.
	boot, cursor, recordsTo uint64
}

// Option changes a new follower.
type Option func(*Follower)

// WithLogger sets the log; without it nothing is logged.
func WithLogger(logger log.Logger) Option { return func(f *Follower) { f.logger = logger } }

// NewFollower makes a follower of the control VMs at the seeds' peer addresses and
// of all that these name.
func NewFollower(peers laburnumlever.Peers, timers laburnumlever.Timers, self laburnumlever.VM, seeds []string, sink Sink, opts ...Option) *Follower {
	f := &Follower{
		peers: peers, timers: timers, self: self, sink: sink, logger: log.NewNopLogger(),
		done: make(chan struct{}), following: map[string]*followed{}, addresses: map[laburnumlever.VMID]string{},
	}
	for _, opt := range opts {
		opt(f)
	}
	for _, address := range seeds {
		f.Follow(address)
	}
	return f
}

// Close ends the polls.
func (f *Follower) Close() { f.once.Do(func() { close(f.done) }) }

// Follow adds a control VM to poll.
func (f *Follower) Follow(address string) { f.follow(address, "") }

// follow is Follow with the control VM's availability zone; empty if it is unknown.
func (f *Follower) follow(address string, zone laburnumlever.ZoneName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "" || address == f.self.PeerAddress {
		return
	}
	c := f.following[address]
	if c != nil && (zone == "" || c.zone == zone) {
		return
	}
	if c == nil {
		c = &followed{standing: standing{address: address}}
		f.following[address] = c
		go f.run(c)
	}
	c.zone = zone
	f.choose()
}

// choose selects the control VMs to get endpoint state from; mu is held. A control VM polls all
// others, of which there are few, since it replicates what they send.
func (f *Follower) choose() {
	var known []standing
	for _, c := range f.following {
		known = append(known, c.standing)
	}
	sources := chooseRecordSources(f.self, known)
	for _, c := range f.following {
		c.chosen = f.self.HasDisk || slices.Contains(sources, c.address)
	}
}

// run polls one control VM until Close.
func (f *Follower) run(c *followed) {
	for {
		a, err := f.ask(c)
		f.note(c, a, err)
		if err == nil {
			f.learn(c.address, a)
		} else if !laburnumtimer.Wait(f.done, f.timers, f.pause()) {
			return
		}
		select {
		case <-f.done:
			return
		default:
		}
	}
}

// note records the result of a poll and reports when a control VM is lost or regained.
func (f *Follower) note(c *followed, a Answer, err error) {
	f.mu.Lock()
	was := c.standing
	c.lost = err != nil
	if err == nil {
		c.isolated = a.Isolated
	}
	if c.standing != was {
		f.choose()
	}
	f.mu.Unlock()
	switch {
	case was.lost == (err != nil):
	case err != nil:
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventControlLost, "address", c.address, "cause", err)
		f.sink.Lost(c.address)
	default:
		_ = level.Info(f.logger).Log("event", laburnumlever.EventControlRegained, "address", c.address)
	}
}

// pause is the time between a failed poll and the next.
func (f *Follower) pause() time.Duration {
	if f.sink.RoutesVersion() == 0 {
		return startPause
	}
	return retryPause
}

func (f *Follower) ask(c *followed) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	q := f.question(c)
	if f.directs(c.address) {
		q.News = f.sink.News()
	}
	var a Answer
	if err := f.peers.Call(ctx, c.address, methodNext, q, &a); err != nil {
		return Answer{}, err
	}
	if a.Boot != c.boot {
		c.recordsTo = 0
	}
	c.boot, c.cursor = a.Boot, a.Cursor
	if q.Records {
		c.recordsTo = a.Cursor
	}
	return a, nil
}

// question is a poll for what follows the last answer. Endpoint state resumes from where the
// control VM last sent it.
func (f *Follower) question(c *followed) request {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := request{From: f.self, Boot: c.boot, Since: c.cursor, Records: c.chosen}
	if q.Records {
		q.Since = c.recordsTo
	}
	return q
}

func (f *Follower) directs(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return address == f.addresses[f.director]
}

// Director is the peer address of the director; empty while it is unknown.
func (f *Follower) Director() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addresses[f.director]
}

// Refused forgets the director if it is the control VM at the address.
func (f *Follower) Refused(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addresses[f.director] == address {
		f.director = ""
	}
}

func (f *Follower) learn(address string, a Answer) {
	for _, vm := range a.Controls {
		f.follow(vm.PeerAddress, vm.Zone)
	}
	f.noteDirector(address, a)
	f.sink.Learn(address, a)
	if a.RoutesVersion > f.sink.RoutesVersion() {
		f.fetchRoutes(address)
	}
}

// noteDirector records the director. Only the director names itself, so of the other control VMs
// only the previous one can take it back.
func (f *Follower) noteDirector(address string, a Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range a.Controls {
		f.addresses[vm.ID] = vm.PeerAddress
	}
	if a.Director != "" || f.addresses[f.director] == address {
		f.director = a.Director
	}
}

// fetchRoutes fetches the table from the first control VM that announces it. A failed fetch is
// repeated at the next answer, within a second.
func (f *Follower) fetchRoutes(address string) {
	f.mu.Lock()
	busy := f.fetching
	f.fetching = true
	f.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), routesTimeout)
	defer cancel()
	var t laburnumlever.RouteTable
	if err := f.peers.Call(ctx, address, methodRoutes, struct{}{}, &t); err != nil {
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventRoutesNotFetched, "address", address, "cause", err)
		return
	}
	f.sink.LearnRoutes(t)
}
