package laburnumgateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"laburnumlever"
)

const (
	// refusalSlot is the resolution of the window of refusals.
	refusalSlot  = 5 * time.Second
	refusalSlots = int(laburnumlever.RefusalsWindow / refusalSlot)
	// maxRefusalKeys bounds what is counted in a slot; the rest counts without an account.
	maxRefusalKeys = 4096
)

// refusalWindow counts the refusals of the last minute by reason and client account. It is safe for concurrent use.
type refusalWindow struct {
	mu    sync.Mutex
	slots [refusalSlots]refusalCounts
}

type refusalCounts struct {
	// number is the slot's number since the zero time.
	number int64
	counts map[refusalKey]int
}

type refusalKey struct {
	account laburnumlever.AccountName
	reason  laburnumlever.RefusalReason
}

func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(refusalSlot) }

// add counts a refusal; the account is empty for a request without one.
func (w *refusalWindow) add(account laburnumlever.AccountName, reason laburnumlever.RefusalReason, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := slotNumber(now)
	slot := &w.slots[number%int64(refusalSlots)]
	if slot.number != number || slot.counts == nil {
		*slot = refusalCounts{number: number, counts: map[refusalKey]int{}}
	}
	key := refusalKey{account: account, reason: reason}
	if _, counted := slot.counts[key]; !counted && len(slot.counts) >= maxRefusalKeys {
		key.account = ""
	}
	slot.counts[key]++
}

// status returns the counts; nil if nothing was refused.
func (w *refusalWindow) status(now time.Time) *laburnumlever.RefusalsStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &laburnumlever.RefusalsStatus{Reasons: map[laburnumlever.RefusalReason]int{}}
	accounts := map[laburnumlever.AccountName]*laburnumlever.AccountRefusals{}
	for _, slot := range w.slots {
		if age := slotNumber(now) - slot.number; age < 0 || age >= int64(refusalSlots) {
			continue
		}
		for key, n := range slot.counts {
			s.Requests += n
			s.Reasons[key.reason] += n
			if key.account != "" {
				addRefusals(accounts, key, n)
			}
		}
	}
	if s.Requests == 0 {
		return nil
	}
	for _, a := range accounts {
		s.Accounts = append(s.Accounts, *a)
	}
	slices.SortFunc(s.Accounts, func(a, b laburnumlever.AccountRefusals) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Account, b.Account))
	})
	s.Accounts = s.Accounts[:min(len(s.Accounts), laburnumlever.MaxAccountStatuses)]
	return s
}

func addRefusals(accounts map[laburnumlever.AccountName]*laburnumlever.AccountRefusals, key refusalKey, n int) {
	a := accounts[key.account]
	if a == nil {
		a = &laburnumlever.AccountRefusals{Account: key.account, Reasons: map[laburnumlever.RefusalReason]int{}}
		accounts[key.account] = a
	}
	a.Requests += n
	a.Reasons[key.reason] += n
}

// Refusals returns how many requests were refused in the last minute; nil for none.
func (g *Gateway) Refusals() *laburnumlever.RefusalsStatus {
	return g.refusals.status(g.timers.Now())
}
