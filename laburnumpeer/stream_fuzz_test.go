package laburnumpeer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
)

// FuzzFrame guards against received frames that cause a panic or exceed the maximum frame size.
func FuzzFrame(f *testing.F) {
	const maxFrame = 1 << 12
	f.Add([]byte("\x22{\"id\":1,\"method\":\"m\",\"params\":{}}"))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01{}"))
	f.Add([]byte("\x02{}\x04null\x00\x05{\"a\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &stream{r: bufio.NewReaderSize(bytes.NewReader(data), readBuffer), maxFrame: maxFrame}
		for {
			var frame json.RawMessage
			if err := s.ReadObject(&frame); err != nil {
				return
			}
			require.LessOrEqual(t, len(frame), maxFrame)
			var request jsonrpc2.Request
			_ = json.Unmarshal(frame, &request)
		}
	})
}
