package laburnumlimit_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumlever/laburnumlimit"
)

// BenchmarkReserve measures a request for a slot at a server that many gateways compete for.
func BenchmarkReserve(b *testing.B) {
	for _, gateways := range []int{6, 294, 780} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			k := laburnumlimit.NewKeeper()
			k.Report(laburnumlimit.Report{Limit: limit(2.1)}, start)
			n := 0
			for b.Loop() {
				n++
				now := at(time.Duration(n) * time.Millisecond)
				k.Report(laburnumlimit.Report{Limit: limit(2.1)}, now)
				k.Reserve(ask(n%gateways, limit(2.1), time.Second), laburnumlimit.FullShare, now)
			}
		})
	}
}
