package laburnumadmission

import (
	"fmt"
	"time"

	"laburnumlever"
)

// Share is this VM's share of every limit.
type Share struct {
	// VMs is the number of entry VMs that the limits are divided by.
	VMs int
	// Known is the number of entry VMs that this VM knows, itself included.
	Known int
	// Rank is this VM's position among the known VMs ordered by name, from 0.
	Rank int
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Owner       laburnumlever.OwnerName
	OwnerLimits laburnumlever.Limits
	// Entry is the name of the model or service.
	Entry       string
	EntryLimits laburnumlever.Limits
	// Tokens is the estimated number of prompt and answer tokens.
	Tokens int
}

// Admission tracks what each owner and each entry uses on this VM.
type Admission struct {
	share   Share
	owners  map[laburnumlever.OwnerName]*usage
	entries map[string]*usage
}

// New returns an Admission with the whole of every limit, as for a single VM.
func New() *Admission {
	return &Admission{
		share:   Share{VMs: 1, Known: 1},
		owners:  map[laburnumlever.OwnerName]*usage{},
		entries: map[string]*usage{},
	}
}

// SetShare sets this VM's share of every limit.
func (a *Admission) SetShare(s Share) {
	s.VMs = max(1, s.VMs)
	a.share = s
}

// Admit admits a request and charges it, or returns a *laburnumlever.RefusalError.
func (a *Admission) Admit(now time.Time, q Request) error {
	owner, entry := a.usages(now, q)
	if err := a.check(owner, q.OwnerLimits, q); err != nil {
		return err
	}
	if err := a.check(entry, q.EntryLimits, q); err != nil {
		return err
	}
	owner.charge(q.Tokens)
	entry.charge(q.Tokens)
	return nil
}

// Release ends an admitted request. Used is its actual number of tokens; the difference from
// the estimate is credited or charged.
func (a *Admission) Release(now time.Time, q Request, used int) {
	owner, entry := a.usages(now, q)
	owner.release(q.Tokens - used)
	entry.release(q.Tokens - used)
}

func (a *Admission) usages(now time.Time, q Request) (owner, entry *usage) {
	owner = a.owners[q.Owner]
	if owner == nil {
		owner = newUsage(now)
		a.owners[q.Owner] = owner
	}
	entry = a.entries[q.Entry]
	if entry == nil {
		entry = newUsage(now)
		a.entries[q.Entry] = entry
	}
	owner.refill(now, a.rates(q.OwnerLimits))
	entry.refill(now, a.rates(q.EntryLimits))
	return owner, entry
}

func (a *Admission) rates(l laburnumlever.Limits) rates {
	n := float64(a.share.VMs)
	return rates{requests: l.RequestsPerSecond / n, tokens: l.TokensPerSecond / n}
}

func (a *Admission) check(acc *usage, l laburnumlever.Limits, q Request) error {
	r := a.rates(l)
	switch {
	case l.InFlight > 0 && acc.inFlight >= a.integerShare(l.InFlight):
		return refusal(q, laburnumlever.RefusedOwnerInFlight, time.Second, "in-flight limit")
	case l.RequestsPerSecond > 0 && acc.requests < 1:
		return refusal(q, laburnumlever.RefusedOwnerRequestRate, refillTime(1-acc.requests, r.requests), "request rate")
	case l.TokensPerSecond > 0 && acc.tokens <= 0:
		return refusal(q, laburnumlever.RefusedOwnerTokenRate, refillTime(1-acc.tokens, r.tokens), "token rate")
	default:
		return nil
	}
}

// integerShare returns this VM's share of a limit that is a whole number.
func (a *Admission) integerShare(limit int) int {
	part := limit / a.share.VMs
	if a.share.Known == a.share.VMs && a.share.Rank < limit%a.share.VMs {
		part++
	}
	return part
}

func refillTime(missing, rate float64) time.Duration {
	return time.Duration(missing / rate * float64(time.Second))
}

func refusal(q Request, reason laburnumlever.RefusalReason, wait time.Duration, what string) error {
	return &laburnumlever.RefusalError{
		Reason: reason, Outcome: laburnumlever.OutcomeNotRun, Owner: q.Owner, Subject: q.Entry,
		RetryAfter: wait, Detail: fmt.Sprintf("this VM's share of the %s of %s is used up", what, q.Owner),
	}
}
