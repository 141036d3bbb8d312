package laburnumfeed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// pollTimeout is longPollTimeout with a margin for a slow VM. A control VM that has not answered by then is taken for lost until it
	// answers.
	pollTimeout = 3 * time.Second
	// pollLimit bounds a poll. One that is given up is asked anew, behind what makes the VMs slow; links to VMs that do not answer
	// at all are closed much sooner.
	pollLimit = 10 * time.Second
	// retryInterval is the delay between polls after a failure. It is short compared with the two
	// seconds within which every VM must know that a backend server is leaving.
	retryInterval = 200 * time.Millisecond
	// startRetryInterval replaces retryInterval on a VM that can't serve yet because it has no routes.
	startRetryInterval = 50 * time.Millisecond
	// routesTimeout bounds the fetch of one part of the route table, for the same reason by more than a fetch usually takes.
	routesTimeout = 6 * time.Second
)

// Sink receives a follower's updates. Methods may be called from any goroutine.
type Sink interface {
	// HandleAnswer receives an answer of the control VM at the address.
	HandleAnswer(address string, a Answer)
	// ControlLost is called when the control VM at the address stops answering.
	ControlLost(address string)
	// HandleRoutes receives a route table.
	HandleRoutes(t laburnumlever.RouteTable)
	// RoutesVersion returns the version of the current route table; 0 for none.
	RoutesVersion() uint64
	// GatewayReport returns the gateway's report to the director.
	GatewayReport() laburnumlever.GatewayReport
}

// Follower polls all known control VMs. It is safe for concurrent use.
type Follower struct {
	peers  laburnumlever.Peers
	timers laburnumlever.Timers
	self   laburnumlever.VM
	sink   Sink
	logger log.Logger
	helper func() string
	// document is set if the operators' text of the route table is fetched.
	document bool
	// foreign counts entries that can't be read.
	foreign *ForeignEntries
	done    chan struct{}
	once    sync.Once

	mu        sync.Mutex
	controls  map[string]*polledControl
	addresses map[laburnumlever.VMID]string
	director  laburnumlever.VMID
	fetching  bool
}

// polledControl is a polled control VM.
type polledControl struct {
	controlState
	// recordSource is set if it is polled for endpoint state as well.
	recordSource bool
	// boot and cursor are those of its last answer; recordsCursor is the cursor up to which it has
	// sent endpoint state.
	boot, cursor, recordsCursor uint64
	// poll counts the polls, polling is set while the last one is not answered.
	poll    uint64
	polling bool
}

// Option configures a new follower.
type Option func(*Follower)

// WithLogger sets the logger; the default discards all lines.
func WithLogger(logger log.Logger) Option { return func(f *Follower) { f.logger = logger } }

// WithForeignEntries sets where entries that can't be read are counted; by default they are only left out.
func WithForeignEntries(foreign *ForeignEntries) Option {
	return func(f *Follower) { f.foreign = foreign }
}

// WithHelper names where this VM opens connections to backend servers for others; empty while it can't. By default it
// never can.
func WithHelper(address func() string) Option { return func(f *Follower) { f.helper = address } }

// WithDocument has the operators' text of the route table fetched, in a table of format 0, instead of the decoded table.
func WithDocument() Option { return func(f *Follower) { f.document = true } }

// NewFollower starts polling the control VMs at the peer addresses in seeds, and all control VMs that
// their answers name.
func NewFollower(peers laburnumlever.Peers, timers laburnumlever.Timers, self laburnumlever.VM, seeds []string, sink Sink, opts ...Option) *Follower {
	f := &Follower{
		peers: peers, timers: timers, self: self, sink: sink, logger: log.NewNopLogger(), helper: func() string { return "" },
		done: make(chan struct{}), controls: map[string]*polledControl{}, addresses: map[laburnumlever.VMID]string{},
	}
	for _, opt := range opts {
		opt(f)
	}
	for _, address := range seeds {
		f.Follow(address)
	}
	return f
}

// Close stops polling. It does not wait for polls in progress.
func (f *Follower) Close() { f.once.Do(func() { close(f.done) }) }

// Follow adds the control VM at a peer address; a known one is left as it is.
func (f *Follower) Follow(address string) { f.follow(address, "") }

// follow is Follow with the control VM's availability zone; empty if it is unknown.
func (f *Follower) follow(address string, zone laburnumlever.ZoneName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "" || address == f.self.PeerAddress {
		return
	}
	c := f.controls[address]
	if c != nil && (zone == "" || c.zone == zone) {
		return
	}
	if c == nil {
		c = &polledControl{controlState: controlState{address: address}}
		f.controls[address] = c
		go f.pollLoop(c)
	}
	c.zone = zone
	f.chooseSources()
}

// chooseSources selects the control VMs to poll for endpoint state. A control VM polls all others
// for it: there are few, and it replicates their state. The caller holds mu.
func (f *Follower) chooseSources() {
	var known []controlState
	for _, c := range f.controls {
		known = append(known, c.controlState)
	}
	sources := chooseRecordSources(f.self, known)
	for _, c := range f.controls {
		c.recordSource = f.self.HasDisk || slices.Contains(sources, c.address)
	}
}

// pollLoop polls one control VM until Close.
func (f *Follower) pollLoop(c *polledControl) {
	for {
		a, err := f.poll(c)
		f.noteResult(c, a, err)
		if err == nil {
			f.handleAnswer(c.address, a)
		} else if !laburnumtimer.Wait(f.done, f.timers, f.retryDelay()) {
			return
		}
		select {
		case <-f.done:
			return
		default:
		}
	}
}

// noteResult records the result of a poll.
func (f *Follower) noteResult(c *polledControl, a Answer, err error) {
	f.mu.Lock()
	c.polling = false
	before := c.controlState
	c.lost = err != nil
	if err == nil {
		c.isolated = a.Isolated
	}
	f.noteState(c, before, err)
}

// noteLate takes a control VM for lost whose answer to a poll is late.
func (f *Follower) noteLate(c *polledControl, poll uint64) {
	f.mu.Lock()
	if !c.polling || c.poll != poll {
		f.mu.Unlock()
		return
	}
	before := c.controlState
	c.lost = true
	f.noteState(c, before, &PollLateError{After: pollTimeout})
}

// noteState logs when a control VM is lost, for a cause, or regained, and chooses the sources anew if its state has changed. The
// caller holds mu, which is unlocked.
func (f *Follower) noteState(c *polledControl, before controlState, cause error) {
	lost := c.lost
	if c.controlState != before {
		f.chooseSources()
	}
	f.mu.Unlock()
	switch {
	case before.lost == lost:
	case lost:
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventControlLost, "address", c.address, "cause", cause)
		f.sink.ControlLost(c.address)
	default:
		_ = level.Info(f.logger).Log("event", laburnumlever.EventControlRegained, "address", c.address)
	}
}

// retryDelay returns the time between a failed poll and the next.
func (f *Follower) retryDelay() time.Duration {
	if f.sink.RoutesVersion() == 0 {
		return startRetryInterval
	}
	return retryInterval
}

func (f *Follower) poll(c *polledControl) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pollLimit)
	defer cancel()
	q, poll := f.nextRequest(c)
	late, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	inTime := context.AfterFunc(late, func() { f.noteLate(c, poll) })
	defer inTime()
	if f.isDirector(c.address) {
		q.GatewayReport = f.sink.GatewayReport()
	}
	var a Answer
	if err := f.peers.Call(ctx, c.address, methodPoll, q, &a); err != nil {
		return Answer{}, err
	}
	if a.Boot != c.boot {
		c.recordsCursor = 0
	}
	c.boot, c.cursor = a.Boot, a.Cursor
	if q.Records {
		c.recordsCursor = a.Cursor
	}
	return a, nil
}

// nextRequest returns the request for changes after the last answer, and the number of the poll. A record source resumes at
// recordsCursor, as answers to polls without records advance cursor past skipped records.
func (f *Follower) nextRequest(c *polledControl) (q pollRequest, poll uint64) {
	helper := f.helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	c.poll++
	c.polling = true
	q = pollRequest{From: f.self, Boot: c.boot, Since: c.cursor, Records: c.recordSource, Helper: helper, LeasesConnections: !f.self.HasDisk}
	if q.Records {
		q.Since = c.recordsCursor
	}
	return q, c.poll
}

// Controls returns the peer addresses of the known control VMs, sorted.
func (f *Follower) Controls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.controls))
}

// ControlsFor returns the peer addresses of the control VMs that answer, in the order in which they
// serve a key of an availability zone. The order is the same on all VMs that know the same control VMs.
func (f *Follower) ControlsFor(zone laburnumlever.ZoneName, key string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var known []controlState
	for _, c := range f.controls {
		if !c.lost {
			known = append(known, c.controlState)
		}
	}
	slices.SortFunc(known, compareFor(zone, key))
	addresses := make([]string, 0, len(known))
	for _, c := range known {
		addresses = append(addresses, c.address)
	}
	return addresses
}

func (f *Follower) isDirector(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return address == f.addresses[f.director]
}

// Director returns the peer address of the director; empty while it is unknown.
func (f *Follower) Director() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addresses[f.director]
}

// ForgetDirector clears the director if it is the control VM at the address. A late refusal by a
// former director leaves the current one.
func (f *Follower) ForgetDirector(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addresses[f.director] == address {
		f.director = ""
	}
}

func (f *Follower) handleAnswer(address string, a Answer) {
	for _, vm := range a.Controls {
		f.follow(vm.PeerAddress, vm.Zone)
	}
	f.noteDirector(address, a)
	for _, cause := range a.Unreadable {
		f.foreign.Note(address, cause)
	}
	f.sink.HandleAnswer(address, a)
	if a.RoutesVersion > f.sink.RoutesVersion() {
		f.FetchRoutes(address)
	}
}

// noteDirector records the director. Only the director names itself: an answer that names none
// clears the director only if it comes from the VM that is recorded as such.
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
