package laburnumpeer_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumpeer"
)

// delayConnections passes connections on to an address, each piece after a delay, and returns its own address.
func delayConnections(t *testing.T, to string, delay time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				return
			}
			go copyLate(out, in, delay)
			go copyLate(in, out, delay)
		}
	}()
	return ln.Addr().String()
}

func copyLate(to, from net.Conn, delay time.Duration) {
	defer to.Close()
	for {
		p := make([]byte, 4096)
		n, err := from.Read(p)
		if err != nil {
			return
		}
		time.AfterFunc(delay, func() { _, _ = to.Write(p[:n]) })
	}
}

// Guards against links to starved VMs that are closed, again and again, before any answer can come.
func TestStarvedPeerIsHeardInTheEnd(t *testing.T) {
	b := laburnumpeer.New("b")
	b.Handle("echo", echo)
	address := delayConnections(t, serve(t, b), 1200*time.Millisecond)
	a := laburnumpeer.New("a")
	defer a.Close()
	var answer text
	require.Eventually(t, func() bool {
		return a.Call(t.Context(), address, "echo", text{Text: "x"}, &answer) == nil
	}, 15*time.Second, 50*time.Millisecond)
	require.Equal(t, "x", answer.Text)
}
