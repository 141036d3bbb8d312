package laburnumstandin_test

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumstandin"
)

// Guards against checks for spoiled answers that pass since the stand-in spoils none, and against seeds that don't repeat.
func TestPlatformServerSpoilsAnswers(t *testing.T) {
	for _, kind := range laburnumstandin.SpoilValues() {
		t.Run(kind.String(), func(t *testing.T) {
			var models []string
			if kind.Streams() {
				models = []string{"m0"}
			}
			told := 0
			s := laburnumstandin.NewPlatformServer("i-1", "essays", "127.0.0.1:1", nil, models, laburnumstandin.PlatformBehaviour{
				OnSpoil: func(id string, got laburnumstandin.Spoil) {
					require.Equal(t, "r-1", id)
					require.Equal(t, kind, got)
					told++
				},
			})
			t.Cleanup(s.Close)
			server := httptest.NewServer(s)
			t.Cleanup(server.Close)
			sound := rawAnswer(t, server)
			s.SetSpoiling(laburnumstandin.Spoiling{Seed: 1, Share: 1, Kinds: []laburnumstandin.Spoil{kind}})
			first, again := rawAnswer(t, server), rawAnswer(t, server)
			require.Equal(t, 2, told)
			require.NotEqual(t, sound, first)
			require.Equal(t, first, again)
			s.SetSpoiling(laburnumstandin.Spoiling{Seed: 2, Share: 1, Kinds: laburnumstandin.SpoilValues()[:0]})
			require.Equal(t, sound, rawAnswer(t, server))
		})
	}
}

var dateLine = regexp.MustCompile("Date: .*\r\n")

// rawAnswer returns what a server sends on the connection of a request, without the date, and whether that ends by a reset.
func rawAnswer(t *testing.T, server *httptest.Server) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: x\r\nX-Laburnumlever-Request-Id: r-1\r\nContent-Length: 3\r\nConnection: close\r\n\r\noak")
	answer, err := io.ReadAll(conn)
	if errors.Is(err, syscall.ECONNRESET) {
		return dateLine.ReplaceAllString(string(answer), "") + "reset"
	}
	require.NoError(t, err)
	return dateLine.ReplaceAllString(string(answer), "")
}
