package laburnumstandin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumstandin"
)

// Guards against connections that no gateway has read from, and that count as open ones.
func TestConnectionIsNewUntilItsPeerHasAnswered(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	caller := laburnumstandin.NewPlatformCaller()
	opened := make(chan struct{})
	leaving, leave := context.WithCancel(t.Context())
	trace := &httptrace.ClientTrace{ConnectDone: func(string, string, error) { leave(); <-opened }}
	_, _, err := caller.Confirm(httptrace.WithClientTrace(leaving, trace), server.Listener.Addr().String(), "r-1", "visit")
	require.ErrorIs(t, err, context.Canceled)
	close(opened)
	used := map[net.Conn]bool{}
	trace = &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		require.Equal(t, used[info.Conn], laburnumstandin.Answered(info.Conn))
		used[info.Conn] = true
	}}
	for range 3 {
		_, _, err = caller.Confirm(httptrace.WithClientTrace(t.Context(), trace), server.Listener.Addr().String(), "r-2", "visit")
		require.NoError(t, err)
	}
}
