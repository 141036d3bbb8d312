package laburnumfeed

import (
	"encoding/json"
	"testing"
	"time"

	"laburnumlever/laburnumregistry"
)

// FuzzAnswer guards against a control VM's answer, compressed or not, that panics the receiver.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"boot":1,"cursor":2,"backends":[{"heartbeat":{"backend":"i-1"}}],"overlays":[{"backend":"i-1"}]}`))
	f.Add([]byte(`{"packed":"AAAA"}`))
	f.Add([]byte(`{"backends":[null],"overlays":[null],"controls":[null]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var a Answer
		if json.Unmarshal(data, &a) != nil {
			return
		}
		table := laburnumregistry.New(time.Second)
		for _, r := range a.Backends {
			table.Merge(r, time.Unix(0, 0))
		}
	})
}
