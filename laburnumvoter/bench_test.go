package laburnumvoter_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumlog"
	"laburnumlever/laburnumstate"
	"laburnumlever/laburnumvoter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

var benchNames = []string{"a", "b", "c", "d", "e"}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func claimOf(n int64) laburnumlever.Command {
	return laburnumlever.Command{Kind: laburnumlever.CommandClaimRequest, Claim: &laburnumlever.ClaimRequest{
		Owner: laburnumlever.OwnerName(fmt.Sprintf("owner-%d", n%16)), Service: "orders",
		Key: fmt.Sprintf("a7f3-%032d", n), Digest: uint64(n), VM: "a",
	}}
}

func benchFleet(b *testing.B, voters int, opts ...laburnumvoter.Option) (*fleet, *vm) {
	limits := laburnumstate.DefaultLimits()
	limits.Claims, limits.OwnerClaims = 1<<24, 1<<24
	opts = append(opts, laburnumvoter.WithTick(100*time.Millisecond), laburnumvoter.WithState(laburnumstate.WithLimits(limits)))
	f := newFleet(b, benchNames[:voters], opts...)
	f.startAll()
	leader := f.vms[f.leader()]
	_, err := leader.Propose(context.Background(), laburnumlever.Command{Kind: laburnumlever.CommandNoop})
	require.NoError(b, err)
	return f, leader
}

// BenchmarkCommit measures the latency of sequential proposals on the leader.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			_, leader := benchFleet(b, voters)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			n := int64(0)
			for b.Loop() {
				n++
				from := time.Now()
				_, err := leader.Propose(context.Background(), claimOf(n))
				require.NoError(b, err)
				_ = h.RecordValue(int64(time.Since(from)))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e6, "p99-ms")
		})
	}
}

// BenchmarkClaims measures the throughput of about 256 concurrent proposers on the leader (with 12
// processors).
func BenchmarkClaims(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		for _, batch := range []int{512, 1} {
			b.Run(fmt.Sprintf("voters=%d/batch=%d", voters, batch), func(b *testing.B) {
				f, leader := benchFleet(b, voters, laburnumvoter.WithBatch(batch))
				var n atomic.Int64
				sent, used := f.net.bytes.Load(), cpuTime()
				b.SetParallelism(256/12 + 1)
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						r, err := leader.Propose(context.Background(), claimOf(n.Add(1)))
						if err != nil || r.Code != laburnumlever.ResultOK {
							b.Errorf("%v %v", r, err)
							return
						}
					}
				})
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
				b.ReportMetric(float64(f.net.bytes.Load()-sent)/float64(b.N), "link-bytes/claim")
				b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/claim")
			})
		}
	}
}

// BenchmarkRestart measures the time to open a folder after changes of a catalogue with 50 models.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			f := newFleet(b, benchNames[:1])
			m := f.start("a", f.folder("a"))
			for i := range uint64(changes) {
				cmd := change(fmt.Sprintf("change-%d", i), i)
				for k := range 50 {
					cmd.Apply.Catalogue.Models = append(cmd.Apply.Catalogue.Models, laburnumlever.Model{
						Name: laburnumlever.ModelName(fmt.Sprintf("model-%d", k)), Owner: "desk", Class: "interactive", Version: "1", WeightsMiB: 16000,
					})
				}
				_, err := m.Propose(context.Background(), cmd)
				require.NoError(b, err)
			}
			for b.Loop() {
				b.StopTimer()
				f.stop("a")
				b.StartTimer()
				f.start("a", f.folder("a")).waitRevision(b, uint64(changes))
			}
		})
	}
}

// BenchmarkTimeWithoutLeader counts the ticks from the loss of the leader until another one is
// elected, with links and disks that take no time.
func BenchmarkTimeWithoutLeader(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			h := hdrhistogram.New(1, 1000, 3)
			seed := uint64(1)
			for b.Loop() {
				seed += 7919
				_ = h.RecordValue(int64(ticksWithoutLeader(voters, seed)))
			}
			b.ReportMetric(h.Mean(), "ticks-mean")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "ticks-p99")
			b.ReportMetric(float64(h.Max()), "ticks-max")
		})
	}
}

func ticksWithoutLeader(voters int, seed uint64) int {
	var configuration laburnumlog.Configuration
	for _, name := range benchNames[:voters] {
		configuration = configuration.WithMember(laburnumlog.Member{ID: laburnumlog.ReplicaID(name)})
	}
	logs := map[laburnumlog.ReplicaID]*laburnumlog.Log{}
	var order []laburnumlog.ReplicaID
	var network []laburnumlog.Message
	step := func(l *laburnumlog.Log, ev laburnumlog.Event) {
		out := l.Step(ev)
		network = append(network, out.Messages...)
		if out.Write != nil {
			network = append(network, l.Step(laburnumlog.Written{Seq: out.Write.Seq}).Messages...)
			network = append(network, out.Write.DeferredMessages...)
		}
	}
	for i, m := range configuration.Members {
		logs[m.ID] = laburnumlog.New(m.ID, laburnumlog.Recovered{}, laburnumlog.WithSeed(xxhash.Sum64String(fmt.Sprint(seed, i))|1))
		order = append(order, m.ID)
		step(logs[m.ID], laburnumlog.Bootstrap{Configuration: configuration})
	}
	untilLeader := func() (ticks int, leader laburnumlog.ReplicaID) {
		for {
			ticks++
			for _, id := range order {
				if l := logs[id]; l != nil {
					step(l, laburnumlog.Tick{})
				}
			}
			for len(network) > 0 {
				m := network[0]
				network = network[1:]
				if l := logs[m.To]; l != nil {
					step(l, laburnumlog.Receive{Message: m})
				}
			}
			for _, id := range order {
				if l := logs[id]; l != nil && l.Role() == laburnumlog.Leader {
					return ticks, id
				}
			}
		}
	}
	_, leader := untilLeader()
	logs[leader] = nil
	ticks, _ := untilLeader()
	return ticks
}
