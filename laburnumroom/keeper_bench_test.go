package laburnumroom_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumroom"
)

// BenchmarkDecide measures half a second of a keeper: a report of each gateway and a decision.
func BenchmarkDecide(b *testing.B) {
	for _, gateways := range []int{97, 780} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			f := newFleet()
			f.gateways = gateways
			accounts := make([]laburnumlever.AccountCost, 16)
			for i := range accounts {
				accounts[i] = laburnumlever.AccountCost{Account: laburnumlever.AccountName(fmt.Sprintf("tenant-%d", i)), Cost: 1430}
			}
			encoded, err := json.Marshal(report(1000, 1, accounts...))
			require.NoError(b, err)
			for b.Loop() {
				f.run(500*time.Millisecond, 1, accounts...)
			}
			b.ReportMetric(float64(len(encoded)), "bytes/report")
			require.LessOrEqual(b, f.level.Headroom(batchRank), laburnumroom.MaxHeadroom)
		})
	}
}
