package laburnumfeed

import (
	"context"
	"encoding/json"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// routesNotice tells control VMs that a version of a large route table is in effect on a gateway.
type routesNotice struct {
	From    laburnumlever.VMID `json:"from"`
	Version uint64             `json:"version"`
}

// sendRoutesNotice sends a routesNotice to all control VMs that answer.
func (f *Follower) sendRoutesNotice(version uint64) {
	if f.self.HasDisk {
		return
	}
	for _, address := range f.ControlsFor("", string(f.self.ID)) {
		f.peers.Notify(address, methodRoutesInEffect, routesNotice{From: f.self.ID, Version: version})
	}
}

func (s *Source) handleRoutesNotice(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var n routesNotice
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, &MessageError{Method: methodRoutesInEffect, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollers.noteRoutes(n.From, n.Version)
	close(s.routesNoted)
	s.routesNoted = make(chan struct{})
	return nil, nil //nolint:nilnil // a notification has no result
}

// AwaitRoutes waits until each gateway that polls this VM has the published route table in effect, at most until ctx is done, and
// returns the number of those that don't have it. It does not wait for a table of one part: gateways fetch it within
// milliseconds and send no notice.
func (s *Source) AwaitRoutes(ctx context.Context) (missing int) {
	for {
		missing, noted := s.gatewaysWithoutRoutes()
		if missing == 0 {
			return 0
		}
		select {
		case <-noted:
		case <-ctx.Done():
			return missing
		}
	}
}

// gatewaysWithoutRoutes counts the gateways that don't have the published table in effect; 0 for a table of one part. The channel is
// closed at the next notice.
func (s *Source) gatewaysWithoutRoutes() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil || len(s.routes.Document) <= routesPartBytes {
		return 0, s.routesNoted
	}
	packed, err := s.packRoutes(false)
	if err != nil {
		_ = level.Error(s.logger).Log("event", laburnumlever.EventRoutesNotEncoded, "version", s.routes.Version, "cause", err)
		return 0, s.routesNoted
	}
	if len(packed.data) <= routesPartBytes {
		return 0, s.routesNoted
	}
	return s.pollers.withoutRoutes(s.routes.Version, s.timers.Now()), s.routesNoted
}
