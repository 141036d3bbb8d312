package laburnumconnections_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumconnections"
)

const (
	modelStep    = 10 * time.Millisecond
	modelLimit   = 60
	longestModel = 3 * time.Second
)

// modelGateway is a gateway of a model in which messages are late or lost and VMs die, stand still and are cut off.
type modelGateway struct {
	id       laburnumlever.VMID
	table    *laburnumconnections.Table
	started  uint64
	frozen   time.Duration
	cutOff   time.Duration
	requests []time.Duration // the ends of those that run
	wanted   int
}

// connectionModel has gateways send requests to one server.
type connectionModel struct {
	random   *rand.Rand
	now      time.Duration
	gateways []*modelGateway
	keepers  []*laburnumconnections.Keeper
	keeper   int
	inbox    []modelMessage
	most     int
}

type modelMessage struct {
	at time.Duration
	do func()
}

func newConnectionModel(seed uint64, gateways int) *connectionModel {
	m := &connectionModel{random: rand.New(rand.NewPCG(seed, seed)), keepers: []*laburnumconnections.Keeper{laburnumconnections.NewKeeper(), laburnumconnections.NewKeeper()}}
	for i := range gateways {
		g := &modelGateway{id: laburnumlever.VMID(fmt.Sprintf("g-%d", i))}
		m.start(g, gateways)
		m.gateways = append(m.gateways, g)
	}
	return m
}

func (m *connectionModel) start(g *modelGateway, gateways int) {
	g.started++
	g.table = laburnumconnections.NewTable(laburnumlever.VM{ID: g.id, Incarnation: g.started})
	g.table.SetGateways(gateways)
	g.table.SetHold(longestModel)
	g.requests = nil // connections end with the process
}

func (m *connectionModel) later(most time.Duration, do func()) {
	m.inbox = append(m.inbox, modelMessage{at: m.now + time.Duration(m.random.Int64N(int64(most))), do: do})
}

// ask sends what is due: a message may be late by seconds or lost, and the gateway then takes it for lost.
func (m *connectionModel) ask(g *modelGateway) {
	for _, a := range g.table.Due(m.now) {
		table, asked, answered := g.table, m.now, false
		if g.cutOff > m.now || m.random.IntN(20) == 0 {
			m.later(200*time.Millisecond, func() { table.Lost(a, m.now) })
			if m.random.IntN(2) == 0 {
				m.later(8*time.Second, func() { m.keepers[m.keeper].Lease(a, laburnumconnections.Fleet{Gateways: len(m.gateways)}, at(m.now)) })
			}
			continue
		}
		m.later(20*time.Millisecond, func() {
			grant := m.keepers[m.keeper].Lease(a, laburnumconnections.Fleet{Gateways: len(m.gateways)}, at(m.now))
			m.later(20*time.Millisecond, func() {
				if !answered && g.frozen <= m.now {
					answered = true
					table.Answered(a, grant, asked, m.now)
				} else {
					table.Lost(a, m.now)
				}
			})
		})
	}
}

// serve ends requests and begins those that the gateway wants and may.
func (m *connectionModel) serve(g *modelGateway) {
	g.requests = slices.DeleteFunc(g.requests, func(end time.Duration) bool { return end <= m.now })
	if g.frozen > m.now {
		return
	}
	for len(g.requests) < g.wanted && len(g.requests) < g.table.Allowed(limited(modelLimit), m.now) {
		g.requests = append(g.requests, m.now+time.Duration(m.random.Int64N(int64(longestModel))))
	}
	if g.wanted > 0 {
		g.table.Use(limited(modelLimit), len(g.requests), m.now)
	}
	m.ask(g)
}

func (m *connectionModel) step() {
	m.now += modelStep
	due := []modelMessage{}
	m.inbox = slices.DeleteFunc(m.inbox, func(message modelMessage) bool {
		if message.at <= m.now {
			due = append(due, message)
		}
		return message.at <= m.now
	})
	for _, message := range due {
		message.do()
	}
	sum := 0
	for _, g := range m.gateways {
		m.serve(g)
		if m.now%(500*time.Millisecond) == 0 && g.frozen <= m.now {
			for _, e := range g.table.Tick(m.now) {
				g.table.Keep(e.Backend, len(g.requests), m.now)
			}
			m.ask(g)
		}
		sum += len(g.requests)
	}
	m.most = max(m.most, sum)
}

// fault has something happen to a gateway.
func (m *connectionModel) fault() {
	g := m.gateways[m.random.IntN(len(m.gateways))]
	switch m.random.IntN(4) {
	case 0:
		m.start(g, len(m.gateways))
	case 1:
		g.frozen = m.now + time.Duration(m.random.Int64N(int64(12*time.Second)))
	case 2:
		g.cutOff = m.now + time.Duration(m.random.Int64N(int64(12*time.Second)))
	default:
		g.wanted = m.random.IntN(2 * modelLimit)
	}
}

// Guards against more connections than a server accepts while holders die, stand still, are cut off or return, and the keeper changes.
func TestSumOfConnectionsIsKept(t *testing.T) {
	for seed := range uint64(60) {
		m := newConnectionModel(seed, 3+int(seed%10))
		lastChange := time.Duration(0)
		for m.now < 60*time.Second {
			if m.random.IntN(40) == 0 {
				m.fault()
			}
			if m.now-lastChange > 12*time.Second && m.random.IntN(200) == 0 { // what the one before has leased has ended by then
				m.keeper, lastChange = 1-m.keeper, m.now
				m.keepers[m.keeper] = laburnumconnections.NewKeeper()
			}
			m.step()
			require.LessOrEqual(t, m.most, modelLimit, "seed %d at %v", seed, m.now)
		}
	}
}

// Guards against connections that idle gateways keep from one that needs them, and against a second of need for each.
func TestNeedMovesAmongGateways(t *testing.T) {
	const gateways = 12
	m := newConnectionModel(1, gateways)
	for hot := range gateways {
		m.gateways[hot].wanted = modelLimit / 4
		for end := m.now + 8*time.Second; m.now < end; {
			m.step()
		}
		require.GreaterOrEqual(t, m.gateways[hot].table.Allowed(limited(modelLimit), m.now), modelLimit/4-1, "gateway %d", hot)
		m.gateways[hot].wanted = 0
	}
}

// Guards against messages of a fleet whose callers come evenly.
func TestEvenLoadAsksForNothing(t *testing.T) {
	const gateways = 12
	m := newConnectionModel(1, gateways)
	for _, g := range m.gateways {
		g.wanted = modelLimit/2/gateways - 1
	}
	for m.now < 20*time.Second {
		m.step()
		require.Empty(t, m.inbox)
	}
}
