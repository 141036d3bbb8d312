package laburnumroom

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"laburnumlever"
)

const (
	// reportPeriod is the least time between two reports.
	reportPeriod = 500 * time.Millisecond
	// maxAccounts is the number of client accounts in a report on a service: a surge makes an account one of the largest.
	maxAccounts = 16
)

// Meter counts what a gateway's requests ask for and get.
type Meter struct {
	incarnation, sequence uint64
	since                 time.Time
	services              map[laburnumlever.ServiceName]*serviceCount
}

type serviceCount struct {
	ranks    map[int]*laburnumlever.RankRoom
	accounts map[laburnumlever.AccountName]float64
}

// NewMeter returns an empty meter for the gateway on the VM.
func NewMeter(vm laburnumlever.VM, now time.Time) *Meter {
	return &Meter{incarnation: vm.Incarnation, since: now, services: map[laburnumlever.ServiceName]*serviceCount{}}
}

func (m *Meter) service(name laburnumlever.ServiceName) *serviceCount {
	s := m.services[name]
	if s == nil {
		s = &serviceCount{ranks: map[int]*laburnumlever.RankRoom{}, accounts: map[laburnumlever.AccountName]float64{}}
		m.services[name] = s
	}
	return s
}

func (m *Meter) rank(service laburnumlever.ServiceName, rank int) *laburnumlever.RankRoom {
	s := m.service(service)
	r := s.ranks[rank]
	if r == nil {
		r = &laburnumlever.RankRoom{Rank: rank}
		s.ranks[rank] = r
	}
	return r
}

// Asked counts a request that asks for a slot for the first time; account is empty for none.
func (m *Meter) Asked(service laburnumlever.ServiceName, rank int, account laburnumlever.AccountName, cost float64) {
	m.rank(service, rank).Asked++
	if account != "" {
		m.service(service).accounts[account] += cost
	}
}

// Served counts a request that got a slot, in time or not.
func (m *Meter) Served(service laburnumlever.ServiceName, rank int, inTime bool) {
	if inTime {
		m.rank(service, rank).Served++
	} else {
		m.rank(service, rank).Late++
	}
}

// Refused counts a request that was refused since no slot was free.
func (m *Meter) Refused(service laburnumlever.ServiceName, rank int) {
	m.rank(service, rank).Refused++
}

// Take returns the counts since the last report; none within reportPeriod of it.
func (m *Meter) Take(now time.Time) laburnumlever.RoomReport {
	span := now.Sub(m.since)
	if span < reportPeriod || len(m.services) == 0 {
		return laburnumlever.RoomReport{}
	}
	m.sequence++
	report := laburnumlever.RoomReport{Incarnation: m.incarnation, Sequence: m.sequence, Span: laburnumlever.Duration(span)}
	for name, s := range m.services {
		report.Services = append(report.Services, s.report(name))
	}
	slices.SortFunc(report.Services, func(a, b laburnumlever.ServiceRoom) int { return strings.Compare(string(a.Service), string(b.Service)) })
	m.since = now
	clear(m.services)
	return report
}

func (s *serviceCount) report(name laburnumlever.ServiceName) laburnumlever.ServiceRoom {
	room := laburnumlever.ServiceRoom{Service: name}
	for _, r := range s.ranks {
		room.Ranks = append(room.Ranks, *r)
	}
	slices.SortFunc(room.Ranks, func(a, b laburnumlever.RankRoom) int { return cmp.Compare(a.Rank, b.Rank) })
	for account, cost := range s.accounts {
		room.Accounts = append(room.Accounts, laburnumlever.AccountCost{Account: account, Cost: cost})
	}
	slices.SortFunc(room.Accounts, func(a, b laburnumlever.AccountCost) int {
		return cmp.Or(cmp.Compare(b.Cost, a.Cost), strings.Compare(string(a.Account), string(b.Account)))
	})
	room.Accounts = room.Accounts[:min(maxAccounts, len(room.Accounts))]
	return room
}
