package laburnumroles_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumstandin"
)

// rememberingDeployment is a deployment whose control VMs remember servers over a restart.
func rememberingDeployment(t *testing.T) *deployment {
	return newDeploymentWith(t, 3, 1, func(_ *deployment, settings *laburnumsettings.RoleSettings) { settings.RememberServers = true })
}

// breakStreams begins streams at the first gateway and calls what ends VMs and servers once they have begun. It returns those
// that have broken off.
func (s *deployment) breakStreams(t *testing.T, caller *laburnumstandin.PlatformCaller, end func()) []*stream {
	t.Helper()
	all := make([]*stream, 12)
	var began sync.WaitGroup
	for i := range all {
		all[i] = &stream{}
		began.Go(func() { all[i].take(t.Context(), caller, s.callers, fmt.Sprint("oak-", i)) })
	}
	<-time.After(500 * time.Millisecond) // the streams have begun and none has ended
	end()
	began.Wait()
	var broken []*stream
	for _, st := range all {
		if !st.ended && len(st.events) > 0 {
			broken = append(broken, st)
		}
	}
	require.Greater(t, len(broken), len(all)/2)
	return broken
}

// stopAll ends all VMs as a loss of power does, startAll starts them again.
func (s *deployment) stopAll() {
	s.killGateway()
	for i := range s.controls {
		s.stop(i)
	}
}

func (s *deployment) startAll() {
	for i := range s.controls {
		s.startControl(i, 1, false)
	}
	s.gateway = s.startGatewayAt(0)
}

// takeUp has a caller take a stream up until it ends or the time is over.
func (s *deployment) takeUp(caller *laburnumstandin.PlatformCaller, st *stream, resumes string, within time.Duration) {
	ctx, cancel := context.WithTimeout(s.t.Context(), within)
	defer cancel()
	for try := 0; ctx.Err() == nil && !st.ended; try++ {
		n := len(st.events)
		id := fmt.Sprint(st.first, "-again-", try)
		status, body, _ := caller.Resume(ctx, s.callers, id, st.first, st.events[n-1].ID, resumes)
		st.statuses = append(st.statuses, status)
		if status == http.StatusOK {
			st.events = append(st.events, laburnumstandin.StreamEvents(body)...)
			st.ended = st.events[len(st.events)-1].ID == laburnumstandin.PlatformEvents()
			continue
		}
		<-time.After(100 * time.Millisecond) // else its tries use up the retry budget
	}
}

// Guards against a stream that goes on at another version when all VMs come back and know only the servers that have not left.
func TestStreamIsNotTakenUpAtTheVersionThatIsLeft(t *testing.T) {
	t.Parallel()
	for name, named := range map[string]bool{"named": true, "not named": false} {
		t.Run(name, func(t *testing.T) {
			s := rememberingDeployment(t)
			v := s.startVersionedServers()
			old, changed := laburnumstandin.PlatformBehaviour{Software: "v1", EventPause: 300 * time.Millisecond}, laburnumstandin.PlatformBehaviour{Software: "v2"}
			_, endFirst := v.start("i-v1-0", old)
			_, endSecond := v.start("i-v1-1", old)
			s.knows(0, "v1", 2)
			caller := laburnumstandin.NewPlatformCaller()
			broken := s.breakStreams(t, caller, func() {
				v.start("i-v2-0", changed)
				v.start("i-v2-1", changed)
				s.knows(0, "v2", 2)
				s.stopAll()
				endFirst()
				endSecond()
			})
			s.startAll()
			s.knows(0, "v2", 2)
			for _, st := range broken[:4] {
				resumes := ""
				if named {
					resumes = st.first
				}
				s.takeUp(caller, st, resumes, 2*time.Second)
				require.Equal(t, []string{"v1"}, st.versions(), "statuses %v, events %v", st.statuses, st.events)
			}
		})
	}
}

// Guards against streams of a service with one version that are refused for half a minute after all VMs have come back.
func TestStreamIsTakenUpAfterARestartOfAllVMs(t *testing.T) {
	t.Parallel()
	for name, named := range map[string]bool{"named": true, "not named": false} {
		t.Run(name, func(t *testing.T) {
			s := rememberingDeployment(t)
			behaviour := laburnumstandin.PlatformBehaviour{Software: "v1", EventPause: 300 * time.Millisecond}
			s.startVersionedServers(behaviour, behaviour, behaviour)
			s.knows(0, "v1", 3)
			caller := laburnumstandin.NewPlatformCaller()
			broken := s.breakStreams(t, caller, s.stopAll)
			s.startAll()
			began := time.Now()
			var all sync.WaitGroup
			for _, st := range broken {
				resumes := ""
				if named {
					resumes = st.first
				}
				all.Go(func() { s.takeUp(caller, st, resumes, callerPatience) })
			}
			all.Wait()
			for _, st := range broken {
				st.requireWhole(t)
			}
			t.Logf("%d streams taken up in %s", len(broken), time.Since(began))
		})
	}
}

// callerPatience is how long callers try to complete a stream.
const callerPatience = 15 * time.Second
