package laburnumproxy_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against slots leaked when a queued request is served, is refused at its deadline or loses its caller.
func TestQueueForSlot(t *testing.T) {
	const slots = 8
	ask := func(ctx context.Context, b *fixture, id string) chan reply {
		got := make(chan reply, 1)
		go func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/v1/completions", strings.NewReader(`{"model":"quote"}`))
			req.Header.Set("X-Request-Id", id)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				got <- reply{err: err}
				return
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			got <- reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
		}()
		return got
	}
	for name, check := range map[string]func(b *fixture, got chan reply, disconnect func(), free chan struct{}){
		"served when a slot is released": func(_ *fixture, got chan reply, _ func(), free chan struct{}) {
			for range slots + 1 {
				free <- struct{}{}
			}
			require.Equal(t, http.StatusOK, (<-got).status)
		},
		"refused at its deadline": func(b *fixture, got chan reply, _ func(), _ chan struct{}) {
			b.timers.Advance(8 * time.Second)
			(<-got).requireRefusal(t, "queue-timeout", "not-run")
		},
		"caller disconnects": func(b *fixture, got chan reply, disconnect func(), _ chan struct{}) {
			disconnect()
			require.Error(t, (<-got).err)
			require.Eventually(t, func() bool { return b.proxy.InFlight() == slots }, 10*time.Second, time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, nil)
			started, free := make(chan struct{}, 100), make(chan struct{}, 100)
			b.engine(false, func(w http.ResponseWriter, _ *http.Request) {
				started <- struct{}{}
				<-free
				io.WriteString(w, "{}")
			})
			for range slots {
				ask(context.Background(), b, "")
				<-started
			}
			ctx, disconnect := context.WithCancel(context.Background())
			defer disconnect()
			got := ask(ctx, b, "ninth")
			// A request in flight isn't queued yet: the clock must not pass its deadline before.
			require.Eventually(t, func() bool { return isQueued(b, "ninth") }, 10*time.Second, time.Millisecond)
			require.Equal(t, slots+1, b.proxy.InFlight())
			check(b, got, disconnect, free)
			for range slots + 2 {
				free <- struct{}{}
			}
			require.Eventually(t, func() bool { return b.proxy.InFlight() == 0 }, 10*time.Second, time.Millisecond)
			for len(started) > 0 {
				<-started
			}
			for len(free) > 0 {
				<-free
			}
			for range slots {
				ask(context.Background(), b, "")
			}
			require.Eventually(t, func() bool { return len(started) == slots }, 10*time.Second, time.Millisecond, "a slot was leaked")
			for range slots {
				free <- struct{}{}
			}
		})
	}
}

func isQueued(b *fixture, id string) bool {
	explanation, _ := b.proxy.Explain(id)
	return slices.ContainsFunc(explanation.Lines, func(line string) bool { return strings.Contains(line, "queued for a free slot") })
}
