package laburnumvoter_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumvoter"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// logRecorder is a logger that keeps each line with its fields in order.
type logRecorder struct {
	mu   sync.Mutex
	list []string
}

func (l *logRecorder) Log(keyvals ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, fmt.Sprintln(keyvals...))
	return nil
}

// has reports whether a line of the event contains all the texts.
func (l *logRecorder) has(event laburnumlever.LogEvent, texts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.list {
		found := strings.Contains(line, "event "+event.String()+" ")
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			return true
		}
	}
	return false
}

var _ log.Logger = (*logRecorder)(nil)

// Guards against a missing quorum that neither the log nor the operator's error explains, although every VM is up.
func TestNoLeaderLogNamesMissingVotes(t *testing.T) {
	f := newFleet(t, []string{"a", "b"}, laburnumvoter.WithProposalTimeout(time.Hour),
		laburnumvoter.WithLeaderlessTimeout(20*tick))
	logs := &logRecorder{}
	f.start("a", f.folder("a"), laburnumvoter.WithLogger(logs))
	f.start("b", f.folder("b"))
	f.wait("a change is accepted", func() bool {
		_, err := f.vms["a"].Propose(context.Background(), change("first", 0))
		return err == nil
	})
	f.stop("b")
	// Its old instance can't vote any more.
	require.NoError(t, os.RemoveAll(f.folder("b")))
	f.start("b", f.folder("b"))
	f.wait("the missing leader is logged", func() bool {
		return logs.has(laburnumlever.EventNoLeader, "waiting-for [b/", "its VM now runs another instance")
	})
	// An operator's change fails with the reason long before its timeout of an hour.
	_, err := f.vms["a"].Propose(context.Background(), change("second", 1))
	var none *laburnumlever.NoQuorumError
	require.ErrorAs(t, err, &none)
	require.Contains(t, none.Detail, "waiting for b/")
	require.True(t, logs.has(laburnumlever.EventReplicaOpened, "last 0"))
	require.True(t, logs.has(laburnumlever.EventVotersChanged, "voters [a/", "committed true"))
}
