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

// logRecorder keeps what is logged, a line an entry, its fields in their order.
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

// has tells whether a line of the event holds all the texts.
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

// Changes are refused for lack of a quorum, and every VM is up. Of two voters one had lost
// its folder, so that the other waits for a vote that can't come. Its lines must say so: who
// the voters are, for whose vote it waits, and that this VM is another instance by now.
func TestNoLeaderLogNamesMissingVotes(t *testing.T) {
	f := newFleet(t, []string{"a", "b"}, laburnumvoter.WithProposalTimeout(time.Hour),
		laburnumvoter.WithLeaderlessPatience(20*tick))
	logs := &logRecorder{}
	f.start("a", f.folder("a"), laburnumvoter.WithLogger(logs))
	f.start("b", f.folder("b"))
	f.wait("a change is taken", func() bool {
		_, err := f.vms["a"].Propose(context.Background(), change("first", 0))
		return err == nil
	})
	f.stop("b")
	require.NoError(t, os.RemoveAll(f.folder("b")))
	f.start("b", f.folder("b"))
	f.wait("the want of a leader is told", func() bool {
		return logs.has(laburnumlever.EventNoLeader, "waiting-for [b/", "its VM is another instance now")
	})
	// An operator's change is not held until its time is over, here an hour, and told why.
	_, err := f.vms["a"].Propose(context.Background(), change("second", 1))
	var none *laburnumlever.NoQuorumError
	require.ErrorAs(t, err, &none)
	require.Contains(t, none.Detail, "waiting for b/")
	require.True(t, logs.has(laburnumlever.EventReplicaOpened, "last 0"))
	require.True(t, logs.has(laburnumlever.EventVotersInForce, "voters [a/", "committed true"))
}
