package laburnummembership

import (
	"encoding/json"
	"testing"
	"time"

	"laburnumlever"

	"github.com/stretchr/testify/require"
)

// FuzzMessages guards against messages of another VM that cause a panic, also when passed on, or an answer that can't be encoded.
func FuzzMessages(f *testing.F) {
	packed := packedUpdates{
		VMs:      []laburnumlever.VM{{ID: "vm-9", PeerAddress: "10.0.0.9:1", Incarnation: 3, State: laburnumlever.VMAlive}},
		Backends: []backendState{{Backend: "quote-1", Incarnation: 2, Publisher: "vm-9"}},
	}.pack()
	rows := loadRows(nil).append(loadRow{key: loadKey("quote-1", 2), sequence: 4, inFlight: 1 << 63, queued: 2})
	good, err := json.Marshal(gossip{From: "vm-9", Digest: 7, Updates: &updates{Packed: packed, Loads: rows}})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{"from":"vm-9","news":{"packed":"AAAA","loads":"//8="},"about-you":{"id":"vm-9","incarnation":18446744073709551615}}`))
	f.Add([]byte(`{"from":{"id":"vm-9","state":"left"},"buckets":"AAAA","packed":"AAAA"}`))
	f.Add([]byte(`{"from":"vm-9","rows":[{},{"model":"m"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet := NewFleet(2, 1, 1)
		n, now := fleet.VMs[0], fleet.Now
		encodable := func(answer any) {
			_, err := json.Marshal(answer)
			require.NoError(t, err)
		}
		var g gossip
		if json.Unmarshal(data, &g) == nil {
			encodable(n.receive(g, now))
		}
		var pull syncRequest
		if json.Unmarshal(data, &pull) == nil {
			encodable(n.answerPull(pull, now))
		}
		var facts syncAnswer
		if json.Unmarshal(data, &facts) == nil {
			n.mergeFacts(unpack(facts.Packed), now, relayUrgent, map[string]bool{})
			n.mergeVM(facts.From, now)
		}
		var demand demandReport
		if json.Unmarshal(data, &demand) == nil {
			n.mergeDemand(demand, now)
		}
		for range 5 {
			now = now.Add(time.Second)
			n.tick(now)
			for _, s := range n.drainOutbox() {
				encodable(s.Params)
			}
		}
	})
}

// FuzzLoadRows guards against rows that cause a panic or change when they are decoded and encoded.
func FuzzLoadRows(f *testing.F) {
	f.Add([]byte(loadRows(nil).append(loadRow{key: 1, sequence: 2, inFlight: 3, queued: 1 << 40})))
	f.Add([]byte{1, 2, 3, 4, 5, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		rows := loadRows(data).rows()
		var again loadRows
		for _, r := range rows {
			again = again.append(r)
		}
		require.Equal(t, rows, again.rows())
	})
}
