package laburnumpeer_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumstandin"

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

// serve serves peers on a free port and returns the address.
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

// Guards against reporting an unknown outcome for a call that was never sent.
func TestUnsentCallIsUnreachable(t *testing.T) {
	closed, err := laburnumstandin.NewClosedPort()
	require.NoError(t, err)
	defer closed.Close()
	a := laburnumpeer.New("a", laburnumpeer.WithMaxFrame(1024))
	defer a.Close()
	var unreachable *laburnumlever.PeerUnreachableError
	require.ErrorAs(t, a.Call(context.Background(), closed.Address(), "echo", nil, nil), &unreachable)

	b := laburnumpeer.New("b")
	b.Handle("echo", echo)
	address := serve(t, b)
	err = a.Call(context.Background(), address, "echo", text{Text: string(make([]byte, 4096))}, nil)
	require.ErrorAs(t, err, &unreachable)
	var large *laburnumpeer.FrameTooLargeError
	require.ErrorAs(t, err, &large)
}

// Guards against calls that hang until TCP gives up, when a frozen or partitioned peer sends neither an answer nor a RST.
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
	// Twice the two seconds, to pass on a busy machine too. Without the silence detector the call
	// would take the whole minute.
	require.Less(t, time.Since(began), 4*time.Second)
}

// Guards against closing a healthy link because a handler takes longer than the silence limit.
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

// Guards against a message that is too large and ends the connection of all others, and against an answer that never comes.
func TestTooLargeMessageLeavesTheConnectionOpen(t *testing.T) {
	b := laburnumpeer.New("b", laburnumpeer.WithMaxFrame(1024))
	began, release := make(chan struct{}), make(chan struct{})
	b.Handle("hold", func(context.Context, laburnumlever.RawMessage) (any, error) {
		close(began)
		<-release
		return struct{}{}, nil
	})
	b.Handle("grow", func(context.Context, laburnumlever.RawMessage) (any, error) {
		return text{Text: string(make([]byte, 4096))}, nil
	})
	address := serve(t, b)
	a := laburnumpeer.New("a", laburnumpeer.WithMaxFrame(1024))
	defer a.Close()
	held := make(chan error, 1)
	go func() { held <- a.Call(context.Background(), address, "hold", struct{}{}, nil) }()
	<-began
	large := text{Text: string(make([]byte, 4096))}
	var unreachable *laburnumlever.PeerUnreachableError
	require.ErrorAs(t, a.Call(context.Background(), address, "hold", large, nil), &unreachable)
	a.Notify(address, "hold", large)
	var refused *laburnumlever.PeerRefusedError
	require.ErrorAs(t, a.Call(context.Background(), address, "grow", struct{}{}, nil), &refused)
	require.Equal(t, "frame-too-large", refused.Kind)
	close(release)
	require.NoError(t, <-held)
}
