package laburnumroles

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumrevocation"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumvoter"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/singleflight"
)

const (
	// confirmCacheTime is how long a control VM answers from its last confirmation. It bounds the rate at which
	// control VMs ask the leader, and the leader the log.
	confirmCacheTime = 200 * time.Millisecond
	// leaderAnswerTimeout bounds the call to the leader of the log. It exceeds confirmWait, for which the leader may wait.
	leaderAnswerTimeout = 250 * time.Millisecond
	// confirmWait is how long an answer waits for a new confirmation if there is one of at most maxConfirmAge.
	confirmWait = 150 * time.Millisecond
	// maxConfirmAge is the age up to which a confirmation is told. Whoever gets an error asks another control VM instead.
	maxConfirmAge = 2 * time.Second
)

// confirmRequest asks whether a route table is the newest.
type confirmRequest struct {
	// Leader is set by control VMs, which ask the leader of the log only.
	Leader bool `json:"leader,omitempty"`
}

// confirmAnswer says that Age ago no route table newer than Version had been acknowledged.
type confirmAnswer struct {
	Version uint64                 `json:"version"`
	Age     laburnumlever.Duration `json:"age"`
}

// confirmations is the part of a control VM that confirms which route table is the newest. It is safe for
// concurrent use.
type confirmations struct {
	peers laburnumlever.Peers
	voter *laburnumvoter.Voter
	group singleflight.Group
	// logger gets the first confirmation after some time without, and what the others failed of.
	logger log.Logger
	// request requests a new confirmation.
	request func(ctx context.Context) (laburnumrevocation.Confirmation, error)

	mu   sync.Mutex
	last laburnumrevocation.Confirmation
	ok   bool
}

func newConfirmations(peers laburnumlever.Peers, voter *laburnumvoter.Voter) *confirmations {
	c := &confirmations{peers: peers, voter: voter, logger: log.NewNopLogger()}
	c.request = c.requestFromLog
	return c
}

func (c *confirmations) handle(ctx context.Context, params laburnumlever.RawMessage) (any, error) {
	var q confirmRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodConfirmRoutes, Cause: err}
	}
	if q.Leader && !c.leads() {
		return nil, &NotLeaderError{Leader: c.voter.Status().Leader}
	}
	confirmed, err := c.confirm(ctx)
	if err != nil {
		return nil, err
	}
	return confirmAnswer{Version: confirmed.Version, Age: laburnumlever.Duration(laburnumtimer.SinceBoot() - confirmed.AsOf)}, nil
}

func (c *confirmations) leads() bool { return c.voter.Status().Role == laburnumlog.Leader.String() }

// latest returns the last confirmation, and whether there is one.
func (c *confirmations) latest() (laburnumrevocation.Confirmation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.ok
}

// confirm returns a confirmation that is at most confirmCacheTime old when it is requested, or an older one if a new one takes
// longer than confirmWait. A request goes on when nobody waits for it any more: on slow disks each takes longer than anybody
// waits. Errors: those of a call to another VM and of a proposal.
func (c *confirmations) confirm(ctx context.Context) (laburnumrevocation.Confirmation, error) {
	if last, ok := c.atMost(confirmCacheTime); ok {
		return last, nil
	}
	result := c.group.DoChan("", func() (any, error) {
		began := laburnumtimer.SinceBoot()
		confirmed, err := c.request(context.Background())
		c.note(confirmed, laburnumtimer.SinceBoot()-began, err)
		return confirmed, err
	})
	waiting, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	select {
	case r := <-result:
		confirmed, _ := r.Val.(laburnumrevocation.Confirmation)
		return confirmed, r.Err
	case <-waiting.Done():
	}
	if last, ok := c.atMost(maxConfirmAge); ok {
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

// note records the outcome of a request for a confirmation.
func (c *confirmations) note(confirmed laburnumrevocation.Confirmation, took time.Duration, err error) {
	before, ok := c.atMost(maxConfirmAge)
	if err != nil {
		_ = level.Warn(c.logger).Log("event", laburnumlever.EventRoutesUnconfirmed, "took-ms", took.Milliseconds(), "cause", err)
		return
	}
	c.mu.Lock()
	c.last, c.ok = confirmed, true
	c.mu.Unlock()
	if !ok {
		_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesConfirmed, "routes-version", confirmed.Version, "before", before.Version,
			"took-ms", took.Milliseconds())
	}
}

// atMost returns the last confirmation if it has at most an age.
func (c *confirmations) atMost(age time.Duration) (laburnumrevocation.Confirmation, bool) {
	last, ok := c.latest()
	return last, ok && laburnumtimer.SinceBoot()-last.AsOf < age
}

// requestFromLog asks the leader, or the log if this VM leads or the leader doesn't answer. The confirmation is dated from
// before the question. The time for a proposal bounds it.
func (c *confirmations) requestFromLog(ctx context.Context) (laburnumrevocation.Confirmation, error) {
	asked := laburnumtimer.SinceBoot()
	if address := c.voter.LeaderAddress(); address != "" {
		var answer confirmAnswer
		callCtx, cancel := context.WithTimeout(ctx, leaderAnswerTimeout)
		err := c.peers.Call(callCtx, address, methodConfirmRoutes, confirmRequest{Leader: true}, &answer)
		cancel()
		if err == nil {
			return laburnumrevocation.Confirmation{Version: answer.Version, AsOf: asked - time.Duration(answer.Age)}, nil
		}
	}
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
