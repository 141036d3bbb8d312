package laburnumvoter

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumquorum"
	"laburnumlever/laburnumstate"
)

// Voter proposes commands and, if the VM has a data folder, runs a replica. It implements
// laburnumlever.Part and laburnumlever.Proposer.
type Voter struct {
	loop   laburnumlever.Loop
	timers laburnumlever.Timers
	peers  laburnumlever.Peers
	self   laburnumlever.VM
	cfg    config

	// The fields below are used on the control thread only.
	log              *laburnumlog.Log // nil without a replica and while it is stopped
	machine          *laburnumstate.Machine
	boot             uint64
	writer           *writer
	generation       int
	pendingAfter     []laburnumlog.Write
	inbox            []laburnumlog.Message
	waiters          map[uint64]waiter
	appendedRoutes   *proposal // the last route table that waits for its commit; nil for none
	addresses        map[laburnumlog.ReplicaID]string
	joiners          map[laburnumlever.VMID]joiner
	planner          laburnumquorum.Planner
	renewals         map[string]renewal
	onCatalogue      func(laburnumlever.Catalogue)
	onRoutes         func(laburnumlever.EncodedRoutes)
	onCommitted      func(routesVersion uint64, asOf time.Duration)
	own              ownEntry
	applied          uint64
	notifiedRevision uint64 // the revision last passed to onCatalogue
	notifiedRoutes   uint64 // the version last passed to onRoutes
	logBytes         int    // of entries since the last snapshot
	lastSnapshot     int    // size of the last snapshot
	encoding         bool
	ticks            uint64
	leaderSeen       uint64 // the last tick at which a leader was known
	standbyUntil     uint64 // the tick until which a leader's answer that this replica is no member is valid
	wasLeader        bool
	clockBase        int64
	clockStart       time.Time
	transfers        []chan struct{}
	failure          error
	published        publishedKey
	logged           loggedState

	// The fields below may be used on any goroutine.
	status       atomic.Pointer[laburnumlever.VoterStatus]
	proposals    proposalQueue
	uploads      uploads
	known        knownVoters
	assembly     chunkAssembly
	chunkedSends chunkedSends
	claims       atomic.Uint64
	starts       atomic.Uint64
	// leaderlessTicks is the number of ticks for which this voter has known no leader.
	leaderlessTicks atomic.Uint64
	startedAt       time.Time
	done            chan struct{}
	closed          sync.Once
	openMu          sync.Mutex // held while a folder is reopened; Close waits for it
	mu              sync.Mutex // guards cancelTicks and currentWriter
	cancelTicks     func()
	currentWriter   *writer
}

// New returns a voter, to be started by Start. It fails if the data folder can't be opened, with
// *laburnumdisk.IOError or *laburnumstate.ImageError.
func New(loop laburnumlever.Loop, timers laburnumlever.Timers, peers laburnumlever.Peers, self laburnumlever.VM, opts ...Option) (*Voter, error) {
	v := &Voter{
		loop: loop, timers: timers, peers: peers, self: self, cfg: newConfig(opts),
		waiters:   map[uint64]waiter{},
		addresses: map[laburnumlog.ReplicaID]string{}, joiners: map[laburnumlever.VMID]joiner{},
		renewals: map[string]renewal{}, onCatalogue: func(laburnumlever.Catalogue) {},
		onRoutes: func(laburnumlever.EncodedRoutes) {}, onCommitted: func(uint64, time.Duration) {},
		done: make(chan struct{}), startedAt: timers.Now(),
	}
	v.planner = laburnumquorum.NewPlanner(v.cfg.policy())
	v.known.set(v.cfg.voters)
	if v.cfg.folder != "" {
		r, err := openReplica(v.cfg, self)
		if err != nil {
			return nil, err
		}
		v.installReplica(r)
	}
	v.publish()
	v.registerHandlers()
	return v, nil
}

// installReplica installs an opened replica and starts its writer.
func (v *Voter) installReplica(r *replica) {
	v.generation++
	v.log, v.machine, v.boot = r.log, r.machine, r.boot
	v.starts.Store(r.starts)
	v.applied = r.log.SnapshotIndex()
	v.lastSnapshot = r.snapshotBytes
	v.pendingAfter, v.inbox = nil, nil
	v.logBytes, v.encoding = 0, false
	v.leaderSeen = v.ticks
	generation := v.generation
	v.writer = newWriter(r.store, v.cfg.batch, func(seq uint64, err error) {
		v.loop.Post(v, writeDone{generation: generation, seq: seq, err: err})
	})
	v.mu.Lock()
	v.currentWriter = v.writer
	v.mu.Unlock()
	go v.writer.run()
	v.reportOpened()
}

// Starts returns the number of starts of a replica on the VM's data folder, the last one included; 0 without a folder. A folder
// that was lost counts anew. It may be called on any goroutine.
func (v *Voter) Starts() uint64 { return v.starts.Load() }

// StartConfirmed reports whether enough VMs have registered this start, so that the data folder is no older copy. It may be called
// on any goroutine.
func (v *Voter) StartConfirmed() bool { return v.Status().Role != roleUnconfirmed }

// OnCatalogue sets the function called on the control thread with each newly applied revision of the
// catalogue and after recovery. It must be called before Start.
func (v *Voter) OnCatalogue(fn func(laburnumlever.Catalogue)) { v.onCatalogue = fn }

// OnRoutes sets the function called on the control thread with each newly applied route table and
// after recovery. It must be called before Start.
func (v *Voter) OnRoutes(fn func(laburnumlever.EncodedRoutes)) { v.onRoutes = fn }

// OnCommitted sets the function called on the control thread when this VM, as the leader, has committed an entry of its own term:
// no route table newer than the version was acknowledged at the time asOf of laburnumtimer.SinceBoot, just before the entry was
// appended. It must be called before Start.
func (v *Voter) OnCommitted(fn func(routesVersion uint64, asOf time.Duration)) { v.onCommitted = fn }

// Start starts the replica and its ticks.
func (v *Voter) Start() {
	v.loop.Post(v, started{})
	cancel := v.timers.Every(v.cfg.tick, func(now time.Time) { v.loop.Post(v, ticked{now: now}) })
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cancelTicks = cancel
}

// Close stops the replica after its queued writes are on disk. It doesn't transfer leadership; call
// TransferLeadership first.
func (v *Voter) Close() error {
	v.closed.Do(func() {
		close(v.done)
		v.openMu.Lock()
		defer v.openMu.Unlock()
		v.mu.Lock()
		cancel, current := v.cancelTicks, v.currentWriter
		v.mu.Unlock()
		if cancel != nil {
			cancel()
		}
		if current != nil {
			current.stop()
			<-current.done
		}
	})
	return nil
}

// Handle handles one event. It runs on the control thread.
func (v *Voter) Handle(ev laburnumlever.Event) {
	switch ev := ev.(type) {
	case started:
		v.onStarted()
	case ticked:
		v.onTick(ev.now)
	case received:
		v.onReceived(ev.message)
	case proposed:
		v.onProposed()
	case writeDone:
		v.onWriteDone(ev)
	case snapshotEncoded:
		v.onSnapshotEncoded(ev)
	case helloReceived:
		v.onHello(ev.hello)
	case bootstrapReceived:
		v.onBootstrap(ev.message)
	case supersededReceived:
		v.onSuperseded(ev.message)
	case reopened:
		v.onReopened(ev)
	case transferRequested:
		v.onTransferRequested(ev)
	}
	v.finishEvent()
}

// finishEvent runs after each event: it continues a pending membership change, handles messages of
// the replica to itself, then logs changes and publishes the status.
func (v *Voter) finishEvent() {
	if v.isLeader() && len(learners(v.log.Configuration())) > 0 {
		v.reconcileMembers()
	}
	for len(v.inbox) > 0 {
		m := v.inbox[0]
		v.inbox = v.inbox[1:]
		v.step(laburnumlog.Receive{Message: m})
	}
	v.updateRole()
	v.reportCommitted()
	v.reportVoters()
	v.reportStart()
	v.publish()
}

func (v *Voter) isLeader() bool { return v.log != nil && v.log.Role() == laburnumlog.Leader }

func (v *Voter) onStarted() {
	if v.log != nil {
		v.startReplica()
	}
}

// startReplica starts the replica. It sends a hello even if its own log says that it is a voter,
// since it may have been replaced while it was down.
func (v *Voter) startReplica() {
	v.step(laburnumlog.Resume{})
	v.notifyCatalogue()
	if v.log == nil { // applying an entry failed and stopped the replica
		return
	}
	v.sendHello()
	if !v.configured() {
		v.maybeBootstrap()
	}
}

func (v *Voter) onTick(now time.Time) {
	v.ticks++
	v.uploads.expire(now)
	if v.log == nil {
		return
	}
	v.step(laburnumlog.Tick{})
	if v.log == nil {
		return
	}
	if v.log.Leader() != "" {
		v.leaderSeen = v.ticks
	}
	v.expireLeases(now)
	v.reportLeaderless()
	if v.isLeader() {
		v.reconcileMembers()
	}
	if v.ticks%memberCheckTicks == 0 {
		v.reportTolerance()
		v.checkMembers()
	}
}
