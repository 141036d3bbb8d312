package laburnumstandin_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

// echoServer sends back every line it gets.
func echoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadString('\n')
					if err != nil {
						_ = conn.Close()
						return
					}
					_, _ = conn.Write([]byte(line))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func startLink(t *testing.T, target string) (*laburnumstandin.Link, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	link := laburnumstandin.NewLink(target)
	go func() { _ = link.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		link.Close()
	})
	return link, ln.Addr().String()
}

func TestLinkDelaysBytesWhileFrozenAndResetsConnectionsWhenCut(t *testing.T) {
	link, address := startLink(t, echoServer(t))
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	send := func(line string) {
		_, err := conn.Write([]byte(line + "\n"))
		require.NoError(t, err)
	}
	requireLine := func(want string) {
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, want+"\n", line)
	}
	send("one")
	requireLine("one")

	// One direction: the target receives "two" (the link has passed its four bytes),
	// and its reply is held back.
	link.Set(laburnumstandin.LinkState{Mode: laburnumstandin.LinkFrozenFrom})
	send("two")
	require.Eventually(t, func() bool { return link.PassedBytes() == len("one\none\ntwo\n") }, waitLimit, waitStep)
	link.Set(laburnumstandin.LinkState{Mode: laburnumstandin.LinkFrozen})
	send("three")
	require.Equal(t, len("one\none\ntwo\n"), link.PassedBytes(), "a frozen link must pass no bytes")
	link.Set(laburnumstandin.LinkState{Mode: laburnumstandin.LinkOpen, Delay: laburnumlever.Duration(waitStep)})
	requireLine("two")
	requireLine("three")

	link.Set(laburnumstandin.LinkState{Mode: laburnumstandin.LinkCut})
	_, err = reader.ReadString('\n')
	require.Error(t, err)
}

func TestLinkCutAppliesOnlyToListedSources(t *testing.T) {
	link, address := startLink(t, echoServer(t))
	link.Set(laburnumstandin.LinkState{Mode: laburnumstandin.LinkCut, From: []string{"127.0.0.9"}})
	roundTripFrom := func(source string) error {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			return err
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("one\n"))
		_, err = bufio.NewReader(conn).ReadString('\n')
		return err
	}
	require.NoError(t, roundTripFrom("127.0.0.1"))
	require.Error(t, roundTripFrom("127.0.0.9"))
}

func TestLinkIsSetOverHTTP(t *testing.T) {
	link := laburnumstandin.NewLink("127.0.0.1:1")
	defer link.Close()
	w := httptest.NewRecorder()
	link.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/link", strings.NewReader(`{"mode":"frozen-to","delay":"20ms"}`)))
	require.JSONEq(t, `{"mode":"frozen-to","delay":"20ms","target":"127.0.0.1:1","passed-bytes":0}`, w.Body.String())
	require.Equal(t, laburnumstandin.LinkFrozenTo, link.State().Mode)
	w = httptest.NewRecorder()
	link.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/link", strings.NewReader(`{"mode":"bent"}`)))
	require.Equal(t, http.StatusBadRequest, w.Code)
}
