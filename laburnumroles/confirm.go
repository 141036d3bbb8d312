package laburnumroles

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumrevocation"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumvoter"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/singleflight"
)

const (
	// confirmCacheTime is how long a control VM answers from its last confirmation. It bounds the rate at which
	// control VMs ask the leader, and the leader the log.
	confirmCacheTime = 200 * time.Millisecond
	// leaderAnswerTime is the time after which the other voters are asked as well as the leader: they may have another one.
	leaderAnswerTime = 250 * time.Millisecond
	// confirmWait is how long an answer waits for a new confirmation if there is an older one.
	confirmWait = 150 * time.Millisecond
	// maxConfirmAge is the age up to which a confirmation is a reason to ask no other control VM.
	maxConfirmAge = 2 * time.Second
	// confirmHold is how long a question is held while there is no confirmation: an election among starved VMs takes that long.
	confirmHold = 3 * time.Second
	// retryAskPause is the time until a confirmation is requested again that was not had, or was too old.
	retryAskPause = 100 * time.Millisecond
	// confirmCallTimeout bounds a question. It leaves starved VMs several seconds to pass it and its answer on.
	confirmCallTimeout = confirmHold + 5*time.Second
)

// confirmRequest asks whether a route table is the newest.
type confirmRequest struct {
	// Leader is set by control VMs. It asks for what the VM knows itself or hears: one that does not lead asks no other.
	Leader bool `json:"leader,omitempty"`
	// Hold is how long the question may be held for a new confirmation; 0 from earlier builds, which do not wait for long.
	Hold laburnumlever.Duration `json:"hold,omitempty"`
	// Older is set if an older confirmation is better than a wait.
	Older bool `json:"older,omitempty"`
}

// confirmAnswer says that no route table newer than Version had been acknowledged a time before the question arrived, or, if Age is
// negative, after it. The VM that asked dates it from when it asked.
type confirmAnswer struct {
	Version uint64                 `json:"version"`
	Age     laburnumlever.Duration `json:"age"`
}

// confirmations is the part of a control VM that confirms which route table is the newest. It is safe for
// concurrent use.
type confirmations struct {
	peers laburnumlever.Peers
	voter *laburnumvoter.Voter
	// self is the peer address of this VM, contacts are the control VMs that it knows: one without a replica knows no voters.
	self     string
	contacts func() []laburnumlever.Voter
	// validFor is how long keys are accepted by a confirmation.
	validFor time.Duration
	timers   laburnumlever.Timers
	group    singleflight.Group
	// logger gets the first confirmation after some time without, and the causes of requests that fail.
	logger log.Logger
	// request requests a new confirmation.
	request func(ctx context.Context) (laburnumrevocation.Confirmation, error)

	mu   sync.Mutex
	last laburnumrevocation.Confirmation
	ok   bool
	// changed is closed at the next confirmation.
	changed chan struct{}
}

func newConfirmations(peers laburnumlever.Peers, voter *laburnumvoter.Voter) *confirmations {
	c := &confirmations{peers: peers, voter: voter, timers: laburnumtimer.New(), logger: log.NewNopLogger(), changed: make(chan struct{}), contacts: func() []laburnumlever.Voter { return nil }}
	c.request = c.requestFromVoters
	return c
}

func (c *confirmations) handle(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	received := laburnumtimer.SinceBoot()
	var q confirmRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodConfirmRoutes, Cause: err}
	}
	confirmed, err := c.answer(ctx, q, received)
	if err != nil {
		return nil, err
	}
	return confirmAnswer{Version: confirmed.Version, Age: laburnumlever.Duration(confirmed.AgeAt(received))}, nil
}

// answer returns the confirmation to tell. Whoever gets an error asks another control VM.
func (c *confirmations) answer(ctx context.Context, q confirmRequest, received time.Duration) (laburnumrevocation.Confirmation, error) {
	if q.Hold <= 0 {
		if q.Leader && !c.leads() {
			return laburnumrevocation.Confirmation{}, &NotLeaderError{Leader: c.voter.Status().Leader}
		}
		ctx, cancel := context.WithTimeout(ctx, confirmAttemptTimeout)
		defer cancel()
		confirmed, err := c.confirm(ctx)
		if err == nil && laburnumtimer.SinceBoot()-confirmed.AsOf >= maxConfirmAge {
			return laburnumrevocation.Confirmation{}, &StaleConfirmationError{Age: laburnumtimer.SinceBoot() - confirmed.AsOf}
		}
		return confirmed, err
	}
	if q.Older {
		if confirmed, ok := c.newerThan(ctx, received-confirmCacheTime, confirmWait, !q.Leader); ok {
			return confirmed, nil
		}
		if last, ok := c.atMost(c.validFor); ok {
			return last, nil
		}
	}
	if confirmed, ok := c.newerThan(ctx, received-confirmCacheTime, time.Duration(q.Hold), !q.Leader); ok {
		return confirmed, nil
	}
	if last, ok := c.latest(); ok {
		return last, nil
	}
	return laburnumrevocation.Confirmation{}, &NotLeaderError{Leader: c.voter.Status().Leader}
}

// newerThan waits for a confirmation as of a time or later, and requests one unless only a leader may. It returns false if there is
// none in time.
func (c *confirmations) newerThan(ctx context.Context, asOf, wait time.Duration, requests bool) (laburnumrevocation.Confirmation, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		c.mu.Lock()
		last, changed := c.last, c.changed
		ok := c.ok && last.AsOf >= asOf
		c.mu.Unlock()
		if ok {
			return last, true
		}
		var requested <-chan singleflight.Result
		if requests || c.leads() {
			requested = c.start()
		}
		select {
		case <-changed:
		case r := <-requested:
			confirmed, _ := r.Val.(laburnumrevocation.Confirmation)
			if (r.Err != nil || confirmed.AsOf < asOf) && !laburnumtimer.Wait(ctx.Done(), c.timers, retryAskPause) {
				return laburnumrevocation.Confirmation{}, false
			}
		case <-ctx.Done():
			return laburnumrevocation.Confirmation{}, false
		}
	}
}

func (c *confirmations) leads() bool { return c.voter.Status().Role == laburnumlog.Leader.String() }

// latest returns the last confirmation, and whether there is one.
func (c *confirmations) latest() (laburnumrevocation.Confirmation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.ok
}

// start requests a confirmation unless one is being requested. The request goes on when nobody waits for it any more: on slow disks
// and starved VMs each takes longer than anybody waits.
func (c *confirmations) start() <-chan singleflight.Result {
	return c.group.DoChan("", func() (any, error) {
		began := laburnumtimer.SinceBoot()
		confirmed, err := c.request(context.Background())
		if err != nil {
			_ = level.Warn(c.logger).Log("event", laburnumlever.EventRoutesUnconfirmed, "took-ms", (laburnumtimer.SinceBoot() - began).Milliseconds(), "cause", err)
			return confirmed, err
		}
		c.note(confirmed)
		return confirmed, nil
	})
}

// confirm returns a confirmation that is at most confirmCacheTime old when it is requested, or an older one of any age if a new one
// takes longer than confirmWait. Errors: those of a call to another VM and of a proposal.
func (c *confirmations) confirm(ctx context.Context) (laburnumrevocation.Confirmation, error) {
	if last, ok := c.atMost(confirmCacheTime); ok {
		return last, nil
	}
	result := c.start()
	waiting, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	select {
	case r := <-result:
		confirmed, _ := r.Val.(laburnumrevocation.Confirmation)
		return confirmed, r.Err
	case <-waiting.Done():
	}
	if last, ok := c.latest(); ok {
		return last, nil
	}
	select {
	case r := <-result:
		confirmed, _ := r.Val.(laburnumrevocation.Confirmation)
		return confirmed, r.Err
	case <-ctx.Done():
		return laburnumrevocation.Confirmation{}, ctx.Err()
	}
}

// note records a confirmation, and answers the questions that are held for it.
func (c *confirmations) note(confirmed laburnumrevocation.Confirmation) {
	c.mu.Lock()
	before, ok := c.last, c.ok
	if ok && confirmed.AsOf <= before.AsOf {
		c.mu.Unlock()
		return
	}
	c.last, c.ok = confirmed, true
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	if gap := confirmed.AsOf - before.AsOf; !ok || gap >= maxConfirmAge {
		_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesConfirmed, "routes-version", confirmed.Version, "before", before.Version,
			"gap-ms", gap.Milliseconds(), "age-ms", (laburnumtimer.SinceBoot() - confirmed.AsOf).Milliseconds())
	}
}

// atMost returns the last confirmation if it has at most an age.
func (c *confirmations) atMost(age time.Duration) (laburnumrevocation.Confirmation, bool) {
	last, ok := c.latest()
	return last, ok && laburnumtimer.SinceBoot()-last.AsOf < age
}

// requestFromVoters asks the voters, this one included, for a confirmation. One that this VM gets otherwise meanwhile ends the
// request.
func (c *confirmations) requestFromVoters(ctx context.Context) (laburnumrevocation.Confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmCallTimeout)
	defer cancel()
	c.mu.Lock()
	changed := c.changed
	c.mu.Unlock()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	confirmed, err := c.askVoters(ctx)
	select {
	case <-changed:
		last, _ := c.latest()
		return last, nil
	default:
		return confirmed, err
	}
}

// bySearch stands for a commit, by whichever VM leads the log, among the addresses that are asked.
const bySearch = ""

// askVoters asks the leader, if there is one, and all other control VMs once it is late: one of them may become the leader, and
// answers then. If earlier builds refuse that, or nobody has answered for confirmHold, the leader is searched for as well. A VM that
// leads commits an entry, and asks the others if that takes long: it may lead no more. The first answer counts. Errors: those of all
// calls and of a proposal.
func (c *confirmations) askVoters(ctx context.Context) (laburnumrevocation.Confirmation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.leads() {
		return firstAnswer(ctx, c.timers, append([]string{bySearch}, c.others()...), pauseAfterFirst(maxConfirmAge), c.ask)
	}
	others := c.others()
	first := time.Duration(0)
	if leader := c.voter.LeaderAddress(); leader != "" {
		first = leaderAnswerTime
		others = append([]string{leader}, slices.DeleteFunc(others, func(address string) bool { return address == leader })...)
	}
	pause := func(asked int) time.Duration {
		if asked == len(others) {
			return confirmHold
		}
		return pauseAfterFirst(first)(asked)
	}
	return firstAnswer(ctx, c.timers, append(others, bySearch), pause, c.ask)
}

// pauseAfterFirst has the first VM asked alone for a time, and then all others at once.
func pauseAfterFirst(alone time.Duration) func(asked int) time.Duration {
	return func(asked int) time.Duration {
		if asked == 1 {
			return alone
		}
		return 0
	}
}

// others returns the peer addresses of the other voters and control VMs.
func (c *confirmations) others() []string {
	var addresses []string
	for _, v := range slices.Concat(c.voter.Status().Voters, c.contacts()) {
		if v.PeerAddress != c.self && !slices.Contains(addresses, v.PeerAddress) {
			addresses = append(addresses, v.PeerAddress)
		}
	}
	return addresses
}

// ask asks one VM until it answers or refuses: one that can't be reached may have just lost power, and one that has held the question
// in vain may lead soon. The confirmation is dated from when it is asked.
func (c *confirmations) ask(ctx context.Context, address string) (laburnumrevocation.Confirmation, error) {
	if address == bySearch {
		return c.commit(ctx)
	}
	for {
		asked := laburnumtimer.SinceBoot()
		var answer confirmAnswer
		err := c.peers.Call(ctx, address, methodConfirmRoutes, confirmRequest{Leader: true, Hold: laburnumlever.Duration(confirmHold)}, &answer)
		if err == nil {
			return laburnumrevocation.Confirmation{Version: answer.Version, AsOf: asked - time.Duration(answer.Age)}, nil
		}
		var refused *laburnumlever.PeerRefusedError
		held := laburnumtimer.SinceBoot()-asked >= confirmHold
		if errors.As(err, &refused) && !held || !laburnumtimer.Wait(ctx.Done(), c.timers, retryAskPause) {
			return laburnumrevocation.Confirmation{}, err
		}
	}
}

// commit proposes an entry, and dates the confirmation from before. The time for a proposal bounds it.
func (c *confirmations) commit(ctx context.Context) (laburnumrevocation.Confirmation, error) {
	asked := laburnumtimer.SinceBoot()
	result, err := c.voter.Propose(ctx, laburnumlever.Command{Kind: laburnumlever.CommandNoop})
	if err != nil {
		return laburnumrevocation.Confirmation{}, err
	}
	if result.RoutesVersion == 0 { // from a leader of an earlier build, or before the first table
		if result, err = c.voter.Propose(ctx, laburnumlever.Command{Kind: laburnumlever.CommandReadRoutes}); err != nil {
			return laburnumrevocation.Confirmation{}, err
		}
		if result.Routes != nil {
			result.RoutesVersion = result.Routes.Version()
		}
	}
	return laburnumrevocation.Confirmation{Version: result.RoutesVersion, AsOf: asked}, nil
}
