package laburnumtunnel_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumtunnel"
)

const eventually = 10 * time.Second

// helper is a helper's server on loopback.
type helper struct {
	*laburnumtunnel.Server
	address   string
	http      *http.Server
	available bool
}

func startHelper(t testing.TB, known ...string) *helper {
	h := &helper{available: true}
	h.Server = laburnumtunnel.NewServer(func(address string) bool {
		for _, k := range known {
			if k == address {
				return true
			}
		}
		return false
	}, func() bool { return h.available }, laburnumtunnel.WithLimit(2))
	ln := listen(t)
	h.address = ln.Addr().String()
	h.http = &http.Server{Handler: h.Server, ReadHeaderTimeout: time.Second}
	go func() { _ = h.http.Serve(ln) }()
	t.Cleanup(func() { _ = h.http.Close() })
	return h
}

func listen(t testing.TB) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// echoServer answers each line with itself; "end" ends its connection in an orderly way, "reset" resets it.
func echoServer(t testing.TB) (address string, ended <-chan struct{}) {
	ln := listen(t)
	done := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close(); done <- struct{}{} }()
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					_, _ = conn.Write([]byte(lines.Text() + "\n"))
					switch lines.Text() {
					case "end":
						return
					case "reset":
						_ = conn.(*net.TCPConn).SetLinger(0)
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), done
}

// directory names the same helpers always.
type directory laburnumtunnel.Helpers

func (d directory) Helpers(context.Context) (laburnumtunnel.Helpers, error) {
	return laburnumtunnel.Helpers(d), nil
}

// askedDirectory names helpers unless the question is given up.
type askedDirectory struct{ directory }

func (d askedDirectory) Helpers(ctx context.Context) (laburnumtunnel.Helpers, error) {
	return laburnumtunnel.Helpers(d.directory), ctx.Err()
}

func newClient(t testing.TB, helpers ...string) *laburnumtunnel.Client {
	return newClientOf(t, laburnumtunnel.Helpers{Near: helpers})
}

func newClientOf(t testing.TB, helpers laburnumtunnel.Helpers) *laburnumtunnel.Client {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	return laburnumtunnel.NewClient(directory(helpers), timers)
}

func say(t testing.TB, conn net.Conn, text string) string {
	_, err := conn.Write([]byte(text + "\n"))
	require.NoError(t, err)
	answer := make([]byte, len(text)+1)
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	return string(answer[:len(text)])
}

// Guards against bytes that a tunnel loses, and against a server that goes on after its caller has left.
func TestTunnelCarriesBytesUntilTheCallerLeaves(t *testing.T) {
	server, ended := echoServer(t)
	h := startHelper(t, server)
	conn, err := newClient(t, h.address).Dial(t.Context(), server)
	require.NoError(t, err)
	require.Equal(t, "oak", say(t, conn, "oak"))
	require.Equal(t, "elm", say(t, conn, "elm"))
	require.Equal(t, h.address, conn.RemoteAddr().String())
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(eventually):
		t.Fatal("the server still has its connection")
	}
	require.Eventually(t, func() bool { return h.Carried() == 0 }, eventually, time.Millisecond)
}

// Guards against a truncated answer that looks complete since its helper was killed or the server reset its connection.
func TestOnlyTheServersOrderlyEndIsAnEnd(t *testing.T) {
	server, _ := echoServer(t)
	end := func(text string, ends func(h *helper)) error {
		h := startHelper(t, server)
		conn, err := newClient(t, h.address).Dial(t.Context(), server)
		require.NoError(t, err)
		defer conn.Close()
		require.Equal(t, text, say(t, conn, text))
		ends(h)
		_, err = io.ReadAll(conn)
		return err
	}
	require.NoError(t, end("end", func(*helper) {}))
	require.ErrorIs(t, end("reset", func(*helper) {}), io.ErrUnexpectedEOF)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, end("oak", func(h *helper) { h.Drain(cancelled) }), io.ErrUnexpectedEOF)
}

// Guards against requests on the tunnels of a helper that leaves, and against cutting off those under way.
func TestLeavingHelperFinishesItsTunnels(t *testing.T) {
	server, _ := echoServer(t)
	h := startHelper(t, server)
	client := newClient(t, h.address)
	conn, err := client.Dial(t.Context(), server)
	require.NoError(t, err)
	tunnel := conn.(*laburnumtunnel.Conn)
	require.True(t, tunnel.Reusable())
	drained := make(chan struct{})
	go func() { h.Drain(context.Background()); close(drained) }()
	require.Eventually(t, func() bool {
		_, err := client.Dial(t.Context(), server)
		return err != nil
	}, eventually, time.Millisecond, "no new tunnels")
	require.Equal(t, "oak", say(t, conn, "oak"))
	require.False(t, tunnel.Reusable())
	select {
	case <-drained:
		t.Fatal("the helper did not wait for its tunnel")
	default:
	}
	require.NoError(t, conn.Close())
	<-drained
}

// Guards against a server's failure that counts as the helper's, and the other way round.
func TestFailureOfTheServerIsToldFromThatOfTheHelper(t *testing.T) {
	server, _ := echoServer(t)
	closed := listen(t)
	refusing := closed.Addr().String()
	require.NoError(t, closed.Close())
	h := startHelper(t, server, refusing)

	var unreachable *laburnumtunnel.ServerUnreachableError
	_, err := newClient(t, h.address).Dial(t.Context(), refusing)
	require.ErrorAs(t, err, &unreachable)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	var nobody *laburnumtunnel.NoHelperError
	_, err = newClient(t).Dial(t.Context(), server)
	require.ErrorAs(t, err, &nobody, "no helper is known")
	_, err = newClient(t, refusing).Dial(t.Context(), server)
	require.ErrorAs(t, err, &nobody, "the helper is gone")
	_, err = newClient(t, h.address).Dial(t.Context(), "127.0.0.1:1")
	require.ErrorAs(t, err, &nobody, "the address belongs to no backend server")
	h.available = false
	_, err = newClient(t, h.address).Dial(t.Context(), server)
	require.ErrorAs(t, err, &nobody, "the helper can't help")
	h.available = true
	conn, err := newClient(t, refusing, h.address).Dial(t.Context(), server)
	require.NoError(t, err, "the next helper is asked")
	require.NoError(t, conn.Close())
}

// Guards against a helper that is exhausted by tunnels.
func TestHelperRefusesTunnelsBeyondItsLimit(t *testing.T) {
	server, _ := echoServer(t)
	h := startHelper(t, server)
	for range 2 {
		conn, err := newClient(t, h.address).Dial(t.Context(), server)
		require.NoError(t, err)
		defer conn.Close()
		require.Equal(t, "oak", say(t, conn, "oak"))
	}
	var nobody *laburnumtunnel.NoHelperError
	_, err := newClient(t, h.address).Dial(t.Context(), server)
	require.ErrorAs(t, err, &nobody)
}

func BenchmarkTunnelRoundTrip(b *testing.B) {
	server, _ := echoServer(b)
	h := startHelper(b, server)
	conn, err := newClient(b, h.address).Dial(b.Context(), server)
	require.NoError(b, err)
	defer conn.Close()
	for b.Loop() {
		say(b, conn, "oak")
	}
}

// Guards against a server that counts as failed since the helper that was asked has lost its own links as well.
func TestHelpersElsewhereGiveASecondOpinion(t *testing.T) {
	server, _ := echoServer(t)
	var asked atomic.Int64
	cutOff := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusBadGateway)
	}))
	t.Cleanup(cutOff.Close)
	elsewhere := startHelper(t, server)
	client := newClientOf(t, laburnumtunnel.Helpers{Near: []string{cutOff.Listener.Addr().String()}, Elsewhere: []string{elsewhere.address}})
	for range 2 {
		conn, err := client.Dial(t.Context(), server)
		require.NoError(t, err)
		require.Equal(t, elsewhere.address, conn.RemoteAddr().String())
		require.NoError(t, conn.Close())
	}
	require.EqualValues(t, 1, asked.Load(), "a helper that is refuted is left alone for a while")
}

// Guards against probes that find no helper since one before them was given up, as those of working links are.
func TestQuestionThatIsGivenUpIsNoAnswer(t *testing.T) {
	server, _ := echoServer(t)
	h := startHelper(t, server)
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	client := laburnumtunnel.NewClient(askedDirectory{directory{Near: []string{h.address}}}, timers)
	for range 10 {
		ctx, giveUp := context.WithCancel(t.Context())
		giveUp()
		_, err := client.Dial(ctx, server)
		require.ErrorIs(t, err, context.Canceled)
	}
	conn, err := client.Dial(t.Context(), server)
	require.NoError(t, err)
	require.Equal(t, "line", say(t, conn, "line"))
}

// Guards against a gateway that knows no helper for a second since the only one that can help was late once.
func TestOnlyHelperIsAskedAgainSoon(t *testing.T) {
	server, _ := echoServer(t)
	h := startHelper(t, server)
	timers := laburnumtimer.NewManual(time.Unix(1_790_000_000, 0))
	client := laburnumtunnel.NewClient(directory{Near: []string{h.address}}, timers)
	h.available = false
	_, err := client.Dial(t.Context(), server)
	var nobody *laburnumtunnel.NoHelperError
	require.ErrorAs(t, err, &nobody)
	h.available = true
	timers.Advance(250 * time.Millisecond)
	conn, err := client.Dial(t.Context(), server)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}

// Guards against a server that counts as failed since the helpers that were asked hang with it, having lost their own links.
func TestHelperThatBringsNothingIsPassedOver(t *testing.T) {
	server, _ := echoServer(t)
	frozen, sound := listen(t), startHelper(t, server)
	go func() {
		for {
			conn, err := frozen.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_, _ = io.WriteString(conn, "HTTP/1.1 200 Connection established\r\n\r\n")
		}
	}()
	client := laburnumtunnel.NewClient(directory{Near: []string{frozen.Addr().String(), sound.address}}, laburnumtimer.NewManual(time.Unix(1_790_000_000, 0)))
	hung := 0
	for range 6 {
		conn, err := client.Dial(t.Context(), server)
		require.NoError(t, err)
		if conn.RemoteAddr().String() == frozen.Addr().String() {
			hung++
			require.NoError(t, conn.SetDeadline(time.Now().Add(50*time.Millisecond)))
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		} else {
			require.Equal(t, "line", say(t, conn, "line"))
		}
		require.NoError(t, conn.Close())
		require.Eventually(t, func() bool { return sound.Carried() == 0 }, eventually, time.Millisecond, "the helper's limit is two tunnels")
	}
	require.LessOrEqual(t, hung, 1)
}

// Guards against a gateway that asks the same of two helpers each time, also where the first try brought nothing.
func TestHelpersTakeTurns(t *testing.T) {
	server, _ := echoServer(t)
	asked := map[string]int{}
	one, other := startHelper(t, server), startHelper(t, server)
	client := newClient(t, one.address, other.address)
	for range 6 {
		conn, err := client.Dial(t.Context(), server)
		require.NoError(t, err)
		asked[conn.RemoteAddr().String()]++
		require.NoError(t, conn.Close())
		require.Eventually(t, func() bool { return one.Carried()+other.Carried() == 0 }, eventually, time.Millisecond, "each helper's limit is two tunnels")
	}
	require.Len(t, asked, 2)
}

// Guards against a server that a helper takes for lost since the VM that asked gave up while it was dialled.
func TestCallThatIsGivenUpSaysNothingOfTheServer(t *testing.T) {
	address, _ := echoServer(t)
	var failed atomic.Int64
	yes := func() bool { return true }
	server := laburnumtunnel.NewServer(func(string) bool { return true }, yes, laburnumtunnel.WithDialFailed(func(string) { failed.Add(1) }))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodConnect, "/", http.NoBody)
	r.Host = address
	server.ServeHTTP(httptest.NewRecorder(), r)
	require.Zero(t, failed.Load())
}
