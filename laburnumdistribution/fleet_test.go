package laburnumdistribution

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumlever"
)

// Fleet runs many cores over in-memory queues on a simulated clock.
type Fleet struct {
	Now    time.Time
	VMs    []laburnumlever.VM
	Cores  []*core
	Random *rand.Rand
	// Loss is the share of messages that are lost at random, among those that Blocked lets pass.
	Loss float64
	// Blocked tells whether all messages from one VM to another are lost.
	Blocked func(from, to int) bool
	// Bytes and Messages count what each VM sent, Bodies the catalogues that each received.
	Bytes, Messages, Bodies []int
	events                  []event
}

type event struct {
	at  time.Time
	run func()
}

const (
	offerLatency = time.Millisecond
	// transferTime is the assumed time to transfer a catalogue of any size to another VM.
	transferTime = 10 * time.Millisecond
	// offerBytes is the size of an offer or its answer, with the envelope of jsonrpc2.
	offerBytes = 95
)

// NewFleet returns VMs that know each other and hold no catalogue.
func NewFleet(count int, seed uint64) *Fleet {
	f := &Fleet{
		Now:      time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC),
		Random:   newRandom(seed),
		Blocked:  func(_, _ int) bool { return false },
		Bytes:    make([]int, count),
		Messages: make([]int, count),
		Bodies:   make([]int, count),
	}
	for i := range count {
		f.VMs = append(f.VMs, laburnumlever.VM{ID: laburnumlever.VMID(fmt.Sprint(i)), PeerAddress: fmt.Sprint(i)})
		f.Cores = append(f.Cores, &core{random: newRandom(seed + uint64(i) + 1)})
	}
	for i := range count {
		var tick func()
		tick = func() {
			f.Cores[i].tick(f.Now, f.others(i))
			f.send(i)
			f.after(tickPeriod, tick)
		}
		f.after(time.Duration(f.Random.Int64N(int64(tickPeriod))), tick)
	}
	return f
}

func (f *Fleet) others(i int) []laburnumlever.VM {
	return append(slices.Clone(f.VMs[:i]), f.VMs[i+1:]...)
}

// Restart restarts a VM without its state, as if it had no disk.
func (f *Fleet) Restart(i int) { f.Cores[i] = &core{random: f.Cores[i].random} }

// Publish publishes a catalogue on one VM.
func (f *Fleet) Publish(i int, c laburnumlever.Catalogue) {
	f.Cores[i].adopt(&catalogueBody{catalogue: c}, f.others(i))
	f.send(i)
}

// Revision returns a VM's current revision.
func (f *Fleet) Revision(i int) uint64 { return f.Cores[i].revision() }

// Until advances the clock until done holds, for at most limit. It returns the time taken and
// whether done held.
func (f *Fleet) Until(limit time.Duration, done func() bool) (time.Duration, bool) {
	began := f.Now
	for !done() {
		if len(f.events) == 0 || f.Now.Sub(began) > limit {
			return f.Now.Sub(began), false
		}
		next := f.events[0]
		f.events = f.events[1:]
		f.Now = next.at
		next.run()
	}
	return f.Now.Sub(began), true
}

func (f *Fleet) after(d time.Duration, run func()) {
	e := event{at: f.Now.Add(d), run: run}
	at, _ := slices.BinarySearchFunc(f.events, e.at, func(other event, at time.Time) int {
		if other.at.After(at) {
			return 1
		}
		return -1 // after events of the same time, in order of insertion
	})
	f.events = slices.Insert(f.events, at, e)
}

func (f *Fleet) count(from, bytes int) {
	f.Bytes[from] += bytes
	f.Messages[from]++
}

func (f *Fleet) lost(from, to int) bool {
	return f.Blocked(from, to) || f.Random.Float64() < f.Loss
}

func (f *Fleet) send(from int) {
	for _, m := range f.Cores[from].drainOutbox() {
		to := slices.IndexFunc(f.VMs, func(vm laburnumlever.VM) bool { return vm.PeerAddress == m.address })
		switch m.method {
		case methodOffer:
			f.offer(from, to, m.offer)
		case methodPush:
			f.transfer(from, to, m.body)
		case methodPull:
			f.count(from, offerBytes)
			if b := f.Cores[to].current; b != nil && !f.lost(from, to) {
				f.transfer(to, from, b)
			}
		}
	}
}

func (f *Fleet) offer(from, to int, o offer) {
	f.count(from, offerBytes)
	if f.lost(from, to) {
		return
	}
	f.after(offerLatency, func() {
		answer := f.Cores[to].handleOffer(o, f.Now)
		f.count(to, offerBytes)
		if f.lost(to, from) {
			return
		}
		f.after(offerLatency, func() {
			f.Cores[from].handleOfferAnswer(f.VMs[to].PeerAddress, answer, f.Now)
			f.send(from)
		})
	})
}

func (f *Fleet) transfer(from, to int, b *catalogueBody) {
	e, err := b.envelope()
	if err != nil {
		panic(err)
	}
	raw, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	f.count(from, len(raw))
	if f.lost(from, to) {
		return
	}
	f.after(transferTime, func() {
		f.Bodies[to]++
		f.Cores[to].adopt(b, f.others(to))
		f.send(to)
	})
}
