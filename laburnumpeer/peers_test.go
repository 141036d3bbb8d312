package laburnumpeer_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumpeer"

	"github.com/stretchr/testify/require"
)

type text struct {
	Text string `json:"text"`
}

func echo(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var t text
	err := json.Unmarshal(params, &t)
	return t, err
}

// serve starts peers on a free port.
func serve(t *testing.T, p *laburnumpeer.Peers) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- p.Serve(ln) }()
	t.Cleanup(func() {
		require.NoError(t, p.Close())
		require.NoError(t, <-done)
	})
	return ln.Addr().String()
}

func TestCallNotifyAndRefusal(t *testing.T) {
	b := laburnumpeer.New("b")
	got := make(chan string, 1)
	b.Handle("echo", echo)
	b.Handle("tell", func(_ context.Context, params laburnumlever.RawMessage) (any, error) {
		got <- string(params)
		return struct{}{}, nil
	})
	b.Handle("refuse", func(context.Context, laburnumlever.RawMessage) (any, error) {
		return nil, &laburnumlever.NoQuorumError{Detail: "alone"}
	})
	address := serve(t, b)
	a := laburnumpeer.New("a")
	defer a.Close()

	var answer text
	require.NoError(t, a.Call(context.Background(), address, "echo", text{Text: "x"}, &answer))
	require.Equal(t, "x", answer.Text)
	a.Notify(address, "tell", text{Text: "y"})
	require.JSONEq(t, `{"text":"y"}`, <-got)

	var refused *laburnumlever.PeerRefusedError
	require.ErrorAs(t, a.Call(context.Background(), address, "refuse", nil, nil), &refused)
	require.Equal(t, "no-quorum", refused.Kind)
	require.ErrorAs(t, a.Call(context.Background(), address, "nothing", nil, nil), &refused)
	require.Equal(t, "unknown-method", refused.Kind)
}

// A VM is dead: its port refuses connections. A caller that took this for "no
// answer" would report "unknown" for work that surely never left; and a call too
// long for a frame must not cost the link, nor be taken as sent.
func TestUnsentCallIsUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	a := laburnumpeer.New("a", laburnumpeer.WithMaxFrame(1024))
	defer a.Close()
	var unreachable *laburnumlever.PeerUnreachableError
	require.ErrorAs(t, a.Call(context.Background(), address, "echo", nil, nil), &unreachable)

	b := laburnumpeer.New("b")
	b.Handle("echo", echo)
	address = serve(t, b)
	err = a.Call(context.Background(), address, "echo", text{Text: string(make([]byte, 4096))}, nil)
	require.ErrorAs(t, err, &unreachable)
	var large *laburnumpeer.FrameTooLargeError
	require.ErrorAs(t, err, &large)
}

// The other VM is frozen (SIGSTOP) or silently cut off: its kernel may still take
// our bytes, but no answer comes and no RST. Without a watch the call, and the control
// work that waits on it, would hang until TCP gives up many minutes later.
func TestSilentPeerIsDetectedWithinTwoSeconds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	a := laburnumpeer.New("a")
	defer a.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	began := time.Now()
	err = a.Call(ctx, ln.Addr().String(), "echo", text{Text: "x"}, nil)
	var lost *laburnumlever.PeerLostError
	require.ErrorAs(t, err, &lost)
	// Twice the two seconds: the bound must hold on a busy machine too, and a link
	// without its watch would take the whole minute.
	require.Less(t, time.Since(began), 4*time.Second)
}

// A handler takes far longer than the silence bound, on a healthy link. A watch that
// looked at the call alone would close the link, and the caller would be told
// "unknown" for work that goes well.
func TestSlowAnswerDoesNotCloseLink(t *testing.T) {
	b := laburnumpeer.New("b")
	b.Handle("slow", func(ctx context.Context, _ laburnumlever.RawMessage) (any, error) {
		select {
		case <-time.After(2500 * time.Millisecond):
		case <-ctx.Done():
		}
		return struct{}{}, nil
	})
	address := serve(t, b)
	a := laburnumpeer.New("a")
	defer a.Close()
	require.NoError(t, a.Call(context.Background(), address, "slow", nil, nil))
}

// Guards against long polls starving the log's messages of worker slots.
func TestLongPollsDoNotStarveNotifications(t *testing.T) {
	const most = 4
	b := laburnumpeer.New("b", laburnumpeer.WithMaxHandlers(most))
	held, release := make(chan struct{}, most), make(chan struct{})
	b.Handle("hold", func(context.Context, laburnumlever.RawMessage) (any, error) {
		held <- struct{}{}
		<-release
		return struct{}{}, nil
	})
	told := make(chan struct{}, 1)
	b.Handle("tell", func(context.Context, laburnumlever.RawMessage) (any, error) {
		told <- struct{}{}
		return struct{}{}, nil
	})
	address := serve(t, b)
	t.Cleanup(func() { close(release) })
	a := laburnumpeer.New("a")
	defer a.Close()
	for range most {
		go func() { _ = a.Call(context.Background(), address, "hold", struct{}{}, nil) }()
		<-held
	}
	var refused *laburnumlever.PeerRefusedError
	require.ErrorAs(t, a.Call(context.Background(), address, "hold", struct{}{}, nil), &refused)
	require.Equal(t, "overloaded", refused.Kind)
	a.Notify(address, "tell", struct{}{})
	<-told
}
