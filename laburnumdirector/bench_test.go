package laburnumdirector_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumlever"
)

// BenchmarkSecond measures one second of the director: heartbeats, ticks, planning rounds, and for
// each gateway one report on demand and four on adapter use.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []struct{ engines, models, gateways int }{{18, 31, 6}, {60, 104, 68}, {204, 353, 294}, {2100, 370, 780}} {
		b.Run(fmt.Sprintf("engines=%d/models=%d/gateways=%d", size.engines, size.models, size.gateways), func(b *testing.B) {
			w := newCluster(&testing.T{}, size.models, 0, 1)
			w.class.LoadsPerSecond = 30
			for i := range size.engines {
				w.addEngine(laburnumlever.BackendID(fmt.Sprintf("i-%04d", i)), modelName(i%size.models), modelName((i*7+1)%size.models))
			}
			w.sendHeartbeats()
			w.advance(8 * time.Second)
			d := w.directors[0].director
			for b.Loop() {
				for g := range size.gateways {
					vm := laburnumlever.VMID(fmt.Sprintf("10.0.1.%d", g))
					for part := range 4 {
						d.SetGatewayReport(vm, gatewayReport(vm, g, part, size.models))
					}
				}
				w.advance(time.Second)
			}
		})
	}
}

// gatewayReport returns the report of a gateway with about ten requests per second.
func gatewayReport(vm laburnumlever.VMID, g, part, models int) laburnumlever.GatewayReport {
	var report laburnumlever.GatewayReport
	for i := range 8 {
		model := modelName((g + i*i) % min(models, 60))
		report.Adapters = append(report.Adapters, laburnumlever.AdapterUse{Model: model, Adapter: laburnumlever.AdapterName(fmt.Sprintf("a%d", i%6))})
		if part == 0 {
			report.Demand = append(report.Demand, laburnumlever.ModelDemand{Model: model, VM: vm, RequestsPerSecond: 1, PromptTokens: 700, AnswerTokens: 200})
		}
	}
	return report
}
