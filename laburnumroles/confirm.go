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

	"golang.org/x/sync/singleflight"
)

const (
	// confirmCacheTime is how long a control VM answers from its last confirmation. It bounds the rate at which
	// control VMs ask the leader, and the leader the log.
	confirmCacheTime = 200 * time.Millisecond
	// confirmTimeout bounds a control VM's own request for a confirmation.
	confirmTimeout = 250 * time.Millisecond
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

	mu   sync.Mutex
	last laburnumrevocation.Confirmation
	ok   bool
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

// confirm returns a confirmation that is at most confirmCacheTime old when it is requested. Errors: those of a call
// to another VM and of a proposal.
func (c *confirmations) confirm(ctx context.Context) (laburnumrevocation.Confirmation, error) {
	if last, ok := c.latest(); ok && laburnumtimer.SinceBoot()-last.AsOf < confirmCacheTime {
		return last, nil
	}
	result := c.group.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		confirmed, err := c.request(ctx)
		if err == nil {
			c.mu.Lock()
			c.last, c.ok = confirmed, true
			c.mu.Unlock()
		}
		return confirmed, err
	})
	select {
	case r := <-result:
		confirmed, _ := r.Val.(laburnumrevocation.Confirmation)
		return confirmed, r.Err
	case <-ctx.Done():
		return laburnumrevocation.Confirmation{}, ctx.Err()
	}
}

// request asks the leader, or the log if this VM leads or the leader doesn't answer. The confirmation is dated from
// before the question.
func (c *confirmations) request(ctx context.Context) (laburnumrevocation.Confirmation, error) {
	asked := laburnumtimer.SinceBoot()
	if address := c.voter.LeaderAddress(); address != "" {
		var answer confirmAnswer
		if err := c.peers.Call(ctx, address, methodConfirmRoutes, confirmRequest{Leader: true}, &answer); err == nil {
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
