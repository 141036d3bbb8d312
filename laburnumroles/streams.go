package laburnumroles

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumstream"

	"github.com/uber-go/tally/v4"
)

// currentPeriods is the number of heartbeat periods in which a started VM hears from all backend servers: one heartbeat may be
// lost and one late.
const currentPeriods = 3

// streamRecords is a batch of records for a control VM to keep.
type streamRecords struct {
	Records []laburnumstream.Record `json:"records"`
}

// streamLookup asks what a control VM knows of a stream.
type streamLookup struct {
	Stream  string                    `json:"stream"`
	Service laburnumlever.ServiceName `json:"service"`
}

// streams is the part of a control VM that keeps which software versions began streams. It is safe for concurrent use.
type streams struct {
	timers laburnumlever.Timers
	// software returns the software versions of a service's backend servers.
	software func(laburnumlever.ServiceName) []laburnumlever.SoftwareVersion
	// isolated reports whether this VM can't reach a majority of the control VMs, which may know other versions.
	isolated  func() bool
	startedAt time.Time
	heartbeat time.Duration
	// versions are those from before this start.
	versions *versionList
	kept     tally.Counter
	known    tally.Gauge
	found    tally.Counter
	missed   tally.Counter

	mu     sync.Mutex
	keeper *laburnumstream.Keeper
	// isolatedAt is when this VM was last seen to be isolated; zero for never.
	isolatedAt time.Time
	// caughtUp is set once the VM has all endpoint state of a VM that is complete.
	caughtUp bool
}

func newStreams(timers laburnumlever.Timers, software func(laburnumlever.ServiceName) []laburnumlever.SoftwareVersion, isolated func() bool, versions *versionList, heartbeat time.Duration, first bool, scope tally.Scope) *streams {
	return &streams{
		timers: timers, software: software, isolated: isolated, versions: versions, heartbeat: heartbeat, startedAt: timers.Now(), keeper: laburnumstream.NewKeeper(), caughtUp: first,
		kept: scope.Counter("stream_records"), known: scope.Gauge("stream_records_kept"),
		found:  scope.Tagged(map[string]string{"outcome": "found"}).Counter("stream_lookups"),
		missed: scope.Tagged(map[string]string{"outcome": "missed"}).Counter("stream_lookups"),
	}
}

func (s *streams) setComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caughtUp = true
}

// complete reports whether this VM has known all backend servers for as long as streams last.
func (s *streams) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp || s.timers.Now().Sub(s.startedAt) >= laburnumstream.Life
}

// currentAfter is how long a VM that has started or was isolated may not know all backend servers.
func (s *streams) currentAfter() time.Duration { return currentPeriods * s.heartbeat }

// start begins the looks at whether this VM is isolated.
func (s *streams) start() {
	s.timers.Every(expirePeriod, func(now time.Time) { s.inContact(now) })
}

// inContact reports whether this VM is not isolated, and has had time to catch up if it was.
func (s *streams) inContact(now time.Time) bool {
	isolated := s.isolated()
	s.mu.Lock()
	defer s.mu.Unlock()
	if isolated {
		s.isolatedAt = now
	}
	return s.isolatedAt.IsZero() || now.Sub(s.isolatedAt) >= s.currentAfter()
}

func (s *streams) handleRecord(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var batch streamRecords
	if err := json.Unmarshal(params, &batch); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodStreamRecord, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range batch.Records {
		if r.Stream == "" {
			continue // a caller without an ID can't name it
		}
		if !s.keeper.Put(r, s.timers.Now()) {
			return nil, &laburnumlever.InvalidValueError{Name: "records", Value: string(r.Software), Want: "records of a known version, fewer of them"}
		}
		s.kept.Inc(1)
	}
	s.known.Update(float64(s.keeper.Len()))
	return struct{}{}, nil
}

func (s *streams) handleLookup(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var q streamLookup
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &laburnumfeed.MessageError{Method: methodStreamLookup, Cause: err}
	}
	now := s.timers.Now()
	o := laburnumstream.Opinion{
		Versions: s.versions.with(q.Service, s.software(q.Service), now), Controls: s.versions.controlCount(), Retained: s.versions.isRetained(),
	}
	if s.inContact(now) {
		o.Complete = s.complete()
		o.Current = o.Complete || now.Sub(s.startedAt) >= s.currentAfter()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Known = s.keeper.Get(q.Stream, now)
	if o.Software == "" {
		s.missed.Inc(1)
	} else {
		s.found.Inc(1)
	}
	return o, nil
}
