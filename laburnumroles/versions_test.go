package laburnumroles_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumstandin"
)

// versionedServers are engines of two software versions.
type versionedServers struct {
	fleet    *deployment
	controls []string
}

// startVersionedServers starts as many engines of each version as the behaviours say. Each announces itself to all control VMs.
func (s *deployment) startVersionedServers(behaviours ...laburnumstandin.PlatformBehaviour) *versionedServers {
	v := &versionedServers{fleet: s}
	for i := range s.controls {
		v.controls = append(v.controls, s.control(i))
	}
	for i, b := range behaviours {
		v.start(fmt.Sprintf("i-%s-%d", b.Software, i), b)
	}
	s.until(200, "first manifest", func() (int, []byte) {
		return s.call("PUT", "http://"+s.control(0)+"/v1/config", manifest(7, "confirm"))
	})
	return v
}

// start starts an engine and returns what ends it.
func (v *versionedServers) start(id string, behaviour laburnumstandin.PlatformBehaviour) (server *laburnumstandin.PlatformServer, end func()) {
	t := v.fleet.t
	ln := (&linkedServers{t: t}).listen(v.fleet)
	server = laburnumstandin.NewPlatformServer(id, "devis", ln.Addr().String(), v.controls, []string{"m0"}, behaviour)
	h := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	go func() { _ = h.Serve(ln) }()
	server.Start(200 * time.Millisecond)
	var once sync.Once
	end = func() { once.Do(func() { _ = h.Close(); server.Close() }) }
	t.Cleanup(end)
	return server, end
}

// knows waits until a gateway knows a number of serving engines of a version.
func (s *deployment) knows(gateway int, software string, n int) {
	s.fleetKnows(s.ip(firstGateway+gateway), software, n)
}

// stream is a stream that a caller takes up again, at the next gateway, each time it breaks.
type stream struct {
	events []laburnumstandin.StreamEvent
	// first is the id of the attempt that brought the first event.
	first    string
	statuses []int
	// ended is set if the last attempt ended the stream.
	ended bool
}

// versions returns the software versions that the stream holds.
func (s *stream) versions() []string {
	var versions []string
	for _, e := range s.events {
		if len(versions) == 0 || versions[len(versions)-1] != e.Software {
			versions = append(versions, e.Software)
		}
	}
	return versions
}

// take makes one attempt at a stream.
func (s *stream) take(ctx context.Context, caller *laburnumstandin.PlatformCaller, gateway, id string) {
	var status int
	var body []byte
	if n := len(s.events); n > 0 {
		status, body, _ = caller.Resume(ctx, gateway, id, s.first, s.events[n-1].ID, s.first)
	} else {
		status, body, _ = caller.Draft(ctx, gateway, id, id) // one text for all would be a request that crashes servers
		s.first = id
	}
	s.statuses = append(s.statuses, status)
	if status != http.StatusOK {
		return
	}
	s.events = append(s.events, laburnumstandin.StreamEvents(body)...)
	n := len(s.events)
	s.ended = n > 0 && s.events[n-1].ID == laburnumstandin.PlatformEvents()
}

// requireWhole checks that a stream ended and holds each event once, of one version.
func (s *stream) requireWhole(t *testing.T) {
	t.Helper()
	require.True(t, s.ended, "statuses %v, events %v", s.statuses, s.events)
	require.Len(t, s.events, laburnumstandin.PlatformEvents())
	require.Len(t, s.versions(), 1, "events %v", s.events)
}

// Guards against a gateway that goes on with a broken stream at an engine of another software version, within one answer.
func TestBrokenStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, 3, 1)
	old, breaking := laburnumstandin.PlatformBehaviour{Software: "v1"}, laburnumstandin.PlatformBehaviour{Software: "v1", AbortStreamAfter: 2}
	s.startVersionedServers(old, breaking, breaking, laburnumstandin.PlatformBehaviour{Software: "v2"}, laburnumstandin.PlatformBehaviour{Software: "v2"})
	s.knows(0, "v1", 3)
	s.knows(0, "v2", 2)
	caller := laburnumstandin.NewPlatformCaller()
	whole := 0
	for i := range 40 {
		st := &stream{}
		st.take(t.Context(), caller, s.callers, fmt.Sprint("oak-", i))
		require.LessOrEqual(t, len(st.versions()), 1, "stream %d: %v", i, st.events)
		if st.ended {
			whole++
		}
	}
	require.Greater(t, whole, 30, "streams that were whole")
}

// Guards against streams that go on at another software version when their gateway is gone and another one takes them up.
func TestStreamIsTakenUpAtTheVersionThatBeganIt(t *testing.T) {
	t.Parallel()
	const streams = 24
	s := newDeployment(t, 3, 1)
	old, changed := laburnumstandin.PlatformBehaviour{Software: "v1", EventPause: 300 * time.Millisecond}, laburnumstandin.PlatformBehaviour{Software: "v2", EventPause: 300 * time.Millisecond}
	s.startVersionedServers(old, old, old, changed, changed, changed)
	s.startGatewayAt(1)
	for gateway := range 2 {
		s.knows(gateway, "v1", 3)
		s.knows(gateway, "v2", 3)
	}
	caller := laburnumstandin.NewPlatformCaller()
	all := make([]*stream, streams)
	var began sync.WaitGroup
	for i := range all {
		all[i] = &stream{}
		began.Go(func() { all[i].take(t.Context(), caller, s.callers, fmt.Sprint("oak-", i)) })
	}
	<-time.After(500 * time.Millisecond) // the streams have begun and none has ended
	s.killGateway()
	began.Wait()
	broken, went := 0, 0
	for i, st := range all {
		if st.ended || len(st.events) == 0 {
			continue
		}
		broken++
		st.take(t.Context(), caller, s.gatewayAddress(1), fmt.Sprint("again-", i))
		require.Len(t, st.versions(), 1, "stream %d: %v", i, st.events)
		if st.ended {
			st.requireWhole(t)
			went++
		}
	}
	t.Logf("%d of %d broken streams went on", went, broken)
	require.Greater(t, broken, streams/2, "streams broken")
	require.GreaterOrEqual(t, went, broken*9/10)
}
