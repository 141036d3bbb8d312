package laburnumroles

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

// operatorProposalTimeout bounds a proposal made for an operator. It is below the operator's own timeout of one second, so that
// the operator gets an answer. Operators wait longer for a large change: for the largest it is proposalTimeout.
const operatorProposalTimeout = 900 * time.Millisecond

// readMargin is how much later than a read a confirmation has to be that answers it: clocks differ in speed, by which the age of a
// confirmation is told.
const readMargin = operatorProposalTimeout / 50

// answerTimeout bounds the time until the largest change is answered, the wait for the gateways included: an operator who gets no
// answer sends the megabytes again.
const answerTimeout = 4500 * time.Millisecond

// useCommitted puts a committed route table into effect. One that can't be decoded leaves the earlier one in effect.
func (c *Control) useCommitted(encoded laburnumlever.EncodedRoutes) {
	t, err := encoded.Table()
	if err == nil {
		t, err = c.decoded(t)
	}
	if err != nil {
		_ = level.Error(c.logger).Log("event", laburnumlever.EventRoutesNotDecoded, "version", encoded.Version(), "cause", err)
		return
	}
	c.setRoutes(t, "log")
}

// setRoutes puts a route table into effect, unless a newer one is: a learner that has fetched the newest applies earlier
// ones from the log.
func (c *Control) setRoutes(t laburnumlever.RouteTable, from string) {
	c.routesMu.Lock()
	defer c.routesMu.Unlock()
	if current := c.routes.Load(); current != nil && current.Version > t.Version {
		return
	}
	c.routes.Store(&t)
	close(c.routesChanged)
	c.routesChanged = make(chan struct{})
	c.source.SetRoutes(t)
	c.quotas.setRoutes(t)
	c.director.SetRoutes(t)
	_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesApplied, "version", t.Version, "routes", len(t.Routes), "from", from)
}

// decoded returns the whole table of the operators' text in a table of format 0.
func (c *Control) decoded(t laburnumlever.RouteTable) (laburnumlever.RouteTable, error) {
	if t.Format >= laburnumlever.TableFormat || len(t.Document) == 0 {
		return t, nil
	}
	whole, err := c.decodeRoutes(t.Document)
	if err == nil {
		err = laburnumroutes.Check(whole)
	}
	return whole, err
}

// ApplyRoutes validates a route table and commits it to the log. Errors: *laburnumlever.RoutesInvalidError,
// *laburnumlever.RoutesTooLargeError, those of the encoding and of a proposal.
func (c *Control) ApplyRoutes(ctx context.Context, table laburnumlever.RouteTable) error {
	if err := checkRoutes(table); err != nil {
		c.RoutesRefused(err)
		return err
	}
	began := c.timers.Now()
	newest, err := c.commitRoutes(ctx, table)
	c.commitTimes.RecordDuration(c.timers.Now().Sub(began))
	c.countChange(err, "accepted", "failed")
	missing := 0
	if err == nil {
		missing = c.awaitGateways(ctx, began.Add(answerTime(len(table.Document))))
	}
	_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesProposed, "version", table.Version, "bytes", len(table.Document),
		"newest", newest, "gateways-without", missing, "cause", err)
	return err
}

// awaitGateways waits until all gateways have the committed table in effect, at most until a time, and returns the number of those
// that don't have it by then: they may be down. A large table takes them longer than operators allow between the acknowledgement
// and its effect.
func (c *Control) awaitGateways(ctx context.Context, until time.Time) (missing int) {
	ctx, cancel := context.WithTimeout(ctx, until.Sub(c.timers.Now()))
	defer cancel()
	return c.source.AwaitRoutes(ctx)
}

// RoutesRefused logs and counts a change of the routes that is refused.
func (c *Control) RoutesRefused(cause error) {
	c.countChange(cause, "", "refused")
	_ = level.Info(c.logger).Log("event", laburnumlever.EventRoutesRefused, "cause", cause)
}

func (c *Control) countChange(err error, success, failure string) {
	outcome := success
	if err != nil {
		outcome = failure
	}
	c.metrics.Scope().Tagged(map[string]string{"outcome": outcome}).Counter("routes_changes").Inc(1)
}

// checkRoutes reports what keeps a route table from being stored and handed to all VMs.
func checkRoutes(table laburnumlever.RouteTable) error {
	if err := laburnumroutes.Check(table); err != nil {
		return err
	}
	size, err := table.Size()
	if err == nil && size > laburnumlever.MaxRoutesTable {
		err = &laburnumlever.RoutesTooLargeError{Unit: "bytes when decoded", Size: size, Limit: laburnumlever.MaxRoutesTable}
	}
	return err
}

// commitRoutes commits a route table, waits until it is in effect on this VM, and returns the newest committed version; 0 if a
// VM of an earlier build committed it. A newer one that is committed already leaves the table without effect.
func (c *Control) commitRoutes(ctx context.Context, table laburnumlever.RouteTable) (newest uint64, err error) {
	if routes := c.routes.Load(); routes != nil && routes.Version >= table.Version {
		return routes.Version, nil
	}
	encoded, err := laburnumlever.EncodeDocument(table.Version, table.Document)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTime(len(table.Document)))
	defer cancel()
	result, err := c.voter.Propose(ctx, laburnumlever.Command{Kind: laburnumlever.CommandApplyRoutes, Routes: &encoded})
	if err == nil {
		c.awaitRoutes(ctx, table.Version)
	}
	return result.RoutesVersion, err
}

// awaitRoutes waits until a version of the routes, or a newer one, is in effect on this VM, at most until ctx is done.
func (c *Control) awaitRoutes(ctx context.Context, version uint64) {
	for {
		c.routesMu.Lock()
		changed := c.routesChanged
		c.routesMu.Unlock()
		if routes := c.routes.Load(); routes != nil && routes.Version >= version {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// ReadRoutes is a linearizable read of the route table; it fails without a quorum. The log tells the newest version, and
// hands out the table itself only if this VM doesn't have it.
func (c *Control) ReadRoutes(ctx context.Context) (laburnumlever.RouteTable, error) {
	newest, err := c.newestVersion(ctx)
	if err != nil {
		return laburnumlever.RouteTable{}, err
	}
	own := c.routes.Load()
	if own != nil && len(own.Document) > 0 && newest > 0 && own.Version >= newest {
		return *own, nil
	}
	size := laburnumlever.MaxRoutesDocument
	if own != nil && len(own.Document) > 0 {
		size = len(own.Document)
	}
	result, err := c.propose(ctx, laburnumlever.CommandReadRoutes, size)
	if err != nil {
		return laburnumlever.RouteTable{}, err
	}
	if result.Routes == nil {
		return laburnumlever.RouteTable{}, &laburnumlever.NotFoundError{Kind: "route table", Name: "newest"}
	}
	return result.Routes.Table()
}

// newestVersion returns the version that a commit tells, or a confirmation of a time after the call, whichever comes first: among
// starved VMs each commit takes longer than an operator waits, but others go on.
func (c *Control) newestVersion(ctx context.Context) (uint64, error) {
	asked := laburnumtimer.SinceBoot() + readMargin
	ctx, cancel := context.WithTimeout(ctx, operatorProposalTimeout)
	defer cancel()
	confirmed := make(chan uint64, 1)
	go func() {
		if last, ok := c.confirmations.newerThan(ctx, asked, operatorProposalTimeout, true); ok {
			confirmed <- last.Version
		}
	}()
	type outcome struct {
		version uint64
		err     error
	}
	committed := make(chan outcome, 1)
	go func() {
		result, err := c.propose(ctx, laburnumlever.CommandNoop, 0)
		committed <- outcome{version: result.RoutesVersion, err: err}
	}()
	select {
	case version := <-confirmed:
		return version, nil
	case o := <-committed:
		return o.version, o.err
	}
}

// propose proposes a command without content, whose result may have an operators' text of a size in bytes.
func (c *Control) propose(ctx context.Context, kind laburnumlever.CommandKind, size int) (laburnumlever.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTime(size))
	defer cancel()
	return c.voter.Propose(ctx, laburnumlever.Command{Kind: kind})
}

// proposalTime returns the timeout of a proposal for an operator, for a text of a size in bytes.
func proposalTime(size int) time.Duration {
	return scaled(size, proposalTimeout)
}

// answerTime returns the time until an operator's change with a text of a size in bytes is answered.
func answerTime(size int) time.Duration { return scaled(size, answerTimeout) }

// scaled returns a time between operatorProposalTimeout and that for the largest text, by the size of a text in bytes.
func scaled(size int, largest time.Duration) time.Duration {
	share := float64(size) / laburnumlever.MaxRoutesDocument
	return operatorProposalTimeout + time.Duration(share*float64(largest-operatorProposalTimeout))
}

// HandleRoutes puts a route table into effect that a control VM without a vote has fetched: it gets none from the log.
func (c *Control) HandleRoutes(t laburnumlever.RouteTable) {
	whole, err := c.decoded(t)
	if err != nil {
		_ = level.Error(c.logger).Log("event", laburnumlever.EventRoutesNotDecoded, "version", t.Version, "cause", err)
		return
	}
	c.setRoutes(whole, "feed")
}

// RoutesVersion returns the version of the routes in effect. A voter fetches no routes, as it gets them from the log.
func (c *Control) RoutesVersion() uint64 {
	if c.voter.Votes() {
		return ^uint64(0)
	}
	if routes := c.routes.Load(); routes != nil {
		return routes.Version
	}
	return 0
}
