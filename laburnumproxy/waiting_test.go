package laburnumproxy_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The only engine's eight places are taken, and a ninth caller waits. It must be
// served as soon as a place is free; be refused, truthfully, at its deadline; and
// leave nothing behind when it goes away, or the place would be lost for good.
func TestWaitingForAPlace(t *testing.T) {
	const places = 8
	ask := func(ctx context.Context, b *bench) chan reply {
		got := make(chan reply, 1)
		go func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/v1/completions", strings.NewReader(`{"model":"quote"}`))
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
	for name, ninth := range map[string]func(b *bench, got chan reply, hangUp func(), free chan struct{}){
		"is served": func(_ *bench, got chan reply, _ func(), free chan struct{}) {
			for range places + 1 {
				free <- struct{}{}
			}
			require.Equal(t, http.StatusOK, (<-got).status)
		},
		"is refused at its deadline": func(b *bench, got chan reply, _ func(), _ chan struct{}) {
			b.timers.Advance(8 * time.Second)
			(<-got).refused(t, "queue-timeout", "not-run")
		},
		"goes away": func(b *bench, got chan reply, hangUp func(), _ chan struct{}) {
			hangUp()
			require.Error(t, (<-got).err)
			require.Eventually(t, func() bool { return b.proxy.InFlight() == places }, 10*time.Second, time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			started, free := make(chan struct{}, 100), make(chan struct{}, 100)
			b.engine(false, func(w http.ResponseWriter, _ *http.Request) {
				started <- struct{}{}
				<-free
				io.WriteString(w, "{}")
			})
			for range places {
				ask(context.Background(), b)
				<-started
			}
			ctx, hangUp := context.WithCancel(context.Background())
			defer hangUp()
			got := ask(ctx, b)
			require.Eventually(t, func() bool { return b.proxy.InFlight() == places+1 }, 10*time.Second, time.Millisecond)
			ninth(b, got, hangUp, free)
			for range places + 2 {
				free <- struct{}{}
			}
			require.Eventually(t, func() bool { return b.proxy.InFlight() == 0 }, 10*time.Second, time.Millisecond)
			for len(started) > 0 {
				<-started
			}
			for len(free) > 0 {
				<-free
			}
			for range places {
				ask(context.Background(), b)
			}
			require.Eventually(t, func() bool { return len(started) == places }, 10*time.Second, time.Millisecond, "a place was lost")
			for range places {
				free <- struct{}{}
			}
		})
	}
}
