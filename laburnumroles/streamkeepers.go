package laburnumroles

import (
	"context"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumstream"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// earlierBuildTime is how long a control VM that does not know the methods is not asked to keep records.
const earlierBuildTime = 10 * time.Second

// streamKeepers has control VMs keep which software versions began streams. It is safe for concurrent use.
type streamKeepers struct {
	calls    *keeperCalls
	timers   laburnumlever.Timers
	logger   log.Logger
	self     laburnumlever.VM
	copies   int
	follower func() *laburnumfeed.Follower

	mu sync.Mutex
	// earlier is when control VMs of an earlier build last answered.
	earlier map[string]time.Time
}

var _ laburnumgateway.StreamKeepers = (*streamKeepers)(nil)

// newStreamKeepers returns keepers that store each record as often as needed to bear a number of lost control VMs.
func newStreamKeepers(calls *keeperCalls, timers laburnumlever.Timers, logger log.Logger, self laburnumlever.VM, losses int, follower func() *laburnumfeed.Follower) *streamKeepers {
	return &streamKeepers{
		calls: calls, timers: timers, logger: logger, self: self, copies: max(1, losses) + 1, follower: follower, earlier: map[string]time.Time{},
	}
}

// Keep implements laburnumgateway.StreamKeepers.
func (k *streamKeepers) Keep(ctx context.Context, records []laburnumstream.Record) int {
	addresses := k.holders(records[0].Stream)
	kept := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { kept <- k.KeepAt(ctx, address, records) }()
	}
	n := 0
	for range addresses {
		select {
		case ok := <-kept:
			if ok {
				n++
			}
		case <-ctx.Done():
			return n
		}
	}
	return n
}

// KeepAt implements laburnumgateway.StreamKeepers.
func (k *streamKeepers) KeepAt(ctx context.Context, address string, records []laburnumstream.Record) bool {
	var answer struct{}
	err := k.calls.call(ctx, address, methodStreamRecord, streamRecords{Records: records}, &answer)
	if isUnknownMethod(err) {
		k.mu.Lock()
		k.earlier[address] = k.timers.Now()
		k.mu.Unlock()
	}
	if err != nil {
		_ = level.Info(k.logger).Log("event", laburnumlever.EventStreamNotRecorded, "address", address, "records", len(records), "cause", err)
	}
	return err == nil
}

// holders returns the control VMs that keep a record: one of the own availability zone, and others by the stream.
func (k *streamKeepers) holders(stream string) []string {
	near := k.follower().ControlsFor(k.self.Zone, stream)
	all := k.follower().ControlsFor("", stream)
	if len(near) > 0 {
		all = append(near[:1:1], all...)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.timers.Now()
	var holders []string
	seen := map[string]struct{}{}
	for _, address := range all {
		if _, known := seen[address]; known || now.Sub(k.earlier[address]) < earlierBuildTime {
			continue
		}
		seen[address] = struct{}{}
		holders = append(holders, address)
	}
	return k.calls.answering(holders, k.copies)
}

// Ask implements laburnumgateway.StreamKeepers.
func (k *streamKeepers) Ask(ctx context.Context, stream string, service laburnumlever.ServiceName) []laburnumstream.Opinion {
	addresses := k.follower().Controls()
	answers := make(chan *laburnumstream.Opinion, len(addresses))
	for _, address := range addresses {
		go func() {
			var o laburnumstream.Opinion
			if err := k.calls.call(ctx, address, methodStreamLookup, streamLookup{Stream: stream, Service: service}, &o); err != nil {
				answers <- nil
				return
			}
			answers <- &o
		}()
	}
	var opinions []laburnumstream.Opinion
	for range addresses {
		if o := <-answers; o != nil {
			opinions = append(opinions, *o)
			if o.Software != "" {
				break
			}
		}
	}
	return opinions
}
