package laburnumstate

import (
	"container/list"

	"laburnumlever"
)

// claimKey identifies a request. Keys are scoped to an owner and a service.
type claimKey struct {
	Owner   laburnumlever.OwnerName   `json:"owner"`
	Service laburnumlever.ServiceName `json:"service"`
	Key     string                    `json:"key"`
}

// claim is the record that a VM may run a request, and of its outcome once settled.
type claim struct {
	claimKey
	Digest  uint64                        `json:"digest"`
	VM      laburnumlever.VMID            `json:"vm"`
	Claim   string                        `json:"claim,omitempty"`
	Touched int64                         `json:"touched"`
	Settled bool                          `json:"settled,omitempty"`
	Outcome laburnumlever.RequestOutcome  `json:"outcome"`
	Answer  *laburnumlever.RecordedAnswer `json:"answer,omitempty"`
}

// claimTable holds the claims ordered by when they were last touched, so that the cost
// of expiry is proportional to the number of expired claims.
type claimTable struct {
	byKey   map[claimKey]*list.Element
	order   *list.List
	answers *list.List // claims with a recorded answer, oldest first
	byOwner map[laburnumlever.OwnerName]int
	bytes   int
}

func newClaimTable() claimTable {
	return claimTable{
		byKey: map[claimKey]*list.Element{}, order: list.New(), answers: list.New(),
		byOwner: map[laburnumlever.OwnerName]int{},
	}
}

func claimOf(e *list.Element) *claim {
	return e.Value.(*claim) //nolint:forcetypeassert // the lists hold only claims
}

func (t *claimTable) claim(now int64, limits Limits, r laburnumlever.ClaimRequest) laburnumlever.Result {
	key := claimKey{Owner: r.Owner, Service: r.Service, Key: r.Key}
	if r.Key == "" {
		return laburnumlever.Result{Code: laburnumlever.ResultInvalid, Detail: "the claim has no key"}
	}
	if e, ok := t.byKey[key]; ok {
		return t.existingResult(*claimOf(e), r)
	}
	if len(t.byKey) >= limits.Claims || t.byOwner[r.Owner] >= limits.OwnerClaims {
		return laburnumlever.Result{Code: laburnumlever.ResultFull, Detail: "the claim table or the owner's share of it is full"}
	}
	t.insert(&claim{claimKey: key, Digest: r.Digest, VM: r.VM, Claim: r.Claim, Touched: now})
	return laburnumlever.Result{Code: laburnumlever.ResultOK, Holder: r.VM}
}

// existingResult returns the result for a claim whose key is already claimed.
func (t *claimTable) existingResult(c claim, r laburnumlever.ClaimRequest) laburnumlever.Result {
	switch {
	case c.Digest != r.Digest:
		return laburnumlever.Result{Code: laburnumlever.ResultMismatch, Detail: "the key was already used with different content"}
	case c.Settled:
		return laburnumlever.Result{Code: laburnumlever.ResultAnswered, Holder: c.VM, Outcome: c.Outcome, Answer: c.Answer}
	case r.Claim != "" && c.Claim == r.Claim:
		// The same command again, after its first answer was lost.
		return laburnumlever.Result{Code: laburnumlever.ResultOK, Holder: c.VM}
	default:
		return laburnumlever.Result{Code: laburnumlever.ResultClaimed, Holder: c.VM}
	}
}

// answer settles a claim, or frees it if the request did not run. Only the VM that
// holds the claim may do so. A claim settled as answered does not change.
func (t *claimTable) answer(now int64, limits Limits, r laburnumlever.RecordAnswer) laburnumlever.Result {
	e, ok := t.byKey[claimKey{Owner: r.Owner, Service: r.Service, Key: r.Key}]
	if !ok {
		return laburnumlever.Result{Code: laburnumlever.ResultUnknown, Detail: "no claim has this key"}
	}
	c := claimOf(e)
	// A delayed record must not settle or free a later claim on the same key: freeing the
	// claim of a request that is running would let the request run twice.
	if c.VM != r.VM || (r.Claim != "" && c.Claim != r.Claim) {
		return laburnumlever.Result{Code: laburnumlever.ResultNotHolder, Holder: c.VM}
	}
	if c.Settled && c.Outcome == laburnumlever.OutcomeAnswered {
		return laburnumlever.Result{Code: laburnumlever.ResultAnswered, Holder: c.VM, Outcome: c.Outcome, Answer: c.Answer}
	}
	if r.Outcome == laburnumlever.OutcomeNotRun {
		if c.Settled {
			return laburnumlever.Result{Code: laburnumlever.ResultAnswered, Holder: c.VM, Outcome: c.Outcome}
		}
		t.remove(e)
		return laburnumlever.Result{Code: laburnumlever.ResultOK}
	}
	c.Settled, c.Outcome, c.Touched = true, r.Outcome, now
	t.order.MoveToBack(e)
	t.storeAnswer(limits, c, r.Answer)
	return laburnumlever.Result{Code: laburnumlever.ResultOK, Outcome: c.Outcome}
}

// storeAnswer stores an answer within the limits, evicting the oldest answers. If the
// answer is too large, its claim is settled with an unknown outcome: the caller learns
// that the request is not run again, which is true, while an empty answer would be wrong.
func (t *claimTable) storeAnswer(limits Limits, c *claim, answer *laburnumlever.RecordedAnswer) {
	if answer == nil || answerSize(answer) > limits.AnswerBytes {
		if c.Outcome == laburnumlever.OutcomeAnswered {
			c.Outcome = laburnumlever.OutcomeUnknown
		}
		return
	}
	c.Answer = answer
	t.bytes += answerSize(answer)
	t.answers.PushBack(c)
	for t.bytes > limits.TotalBytes {
		t.evictAnswer(t.answers.Front())
	}
}

func (t *claimTable) evictAnswer(e *list.Element) {
	c := claimOf(e)
	t.answers.Remove(e)
	if c.Answer == nil {
		return
	}
	t.bytes -= answerSize(c.Answer)
	c.Answer = nil
	c.Outcome = laburnumlever.OutcomeUnknown
}

func answerSize(a *laburnumlever.RecordedAnswer) int {
	size := len(a.Body)
	for k, v := range a.Header {
		size += len(k) + len(v)
	}
	return size
}

func (t *claimTable) insert(c *claim) {
	t.byKey[c.claimKey] = t.order.PushBack(c)
	t.byOwner[c.Owner]++
	if c.Answer != nil {
		t.bytes += answerSize(c.Answer)
		t.answers.PushBack(c)
	}
}

func (t *claimTable) remove(e *list.Element) {
	c := claimOf(e)
	t.order.Remove(e)
	delete(t.byKey, c.claimKey)
	t.byOwner[c.Owner]--
	if t.byOwner[c.Owner] == 0 {
		delete(t.byOwner, c.Owner)
	}
	if c.Answer != nil {
		t.bytes -= answerSize(c.Answer)
		c.Answer = nil
	}
}

// expire removes the claims last touched more than keep milliseconds before now.
func (t *claimTable) expire(now, keep int64) {
	for e := t.order.Front(); e != nil && claimOf(e).Touched < now-keep; e = t.order.Front() {
		t.remove(e)
	}
	for e := t.answers.Front(); e != nil && claimOf(e).Answer == nil; e = t.answers.Front() {
		t.answers.Remove(e)
	}
}
