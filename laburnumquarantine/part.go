package laburnumquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"laburnumlever"
)

// Part is a part that prompts at a service share. Model, adapter, route and client account don't matter: the ID stands for the
// content, and engines of one service run the same software.
type Part struct {
	Service laburnumlever.ServiceName `json:"service"`
	ID      laburnumlever.PartID      `json:"id"`
}

// partKind begins what a part's digest is made of, which no request's content does.
const partKind = "prompt part\x00"

// Digest returns the digest that stands for all requests with the part.
func (p Part) Digest() laburnumlever.RequestDigest {
	text := append([]byte(partKind), p.Service...)
	text = binary.BigEndian.AppendUint64(append(text, 0), uint64(p.ID))
	sum := sha256.Sum256(text)
	var d laburnumlever.RequestDigest
	copy(d[:], sum[:])
	return d
}

// PartSighting is a part of requests that were on a backend server when it crashed.
type PartSighting struct {
	Crash
	Part
	// Requests is the number of the gateway's requests with the part on the server.
	Requests int `json:"requests,omitempty"`
	// CrashedAt is when the first connection broke, AnsweredAt when the last known answer to a request with the part began; zero
	// for none. On the wire they are ages, so that the clocks of VMs don't matter.
	CrashedAt   time.Time              `json:"-"`
	AnsweredAt  time.Time              `json:"-"`
	CrashedAgo  laburnumlever.Duration `json:"crashed-ago,omitempty"`
	AnsweredAgo laburnumlever.Duration `json:"answered-ago,omitempty"`
}

// PartAnswer is an answer to a request with a listed part, or an operator's word for one.
type PartAnswer struct {
	Part
	// AnsweredAt is when the answer began; on the wire it is an age.
	AnsweredAt  time.Time              `json:"-"`
	AnsweredAgo laburnumlever.Duration `json:"answered-ago,omitempty"`
	// Lifted is set if an operator had the part served again: the crashes before count against no part.
	Lifted bool `json:"lifted,omitempty"`
}

// Sent returns the report with ages in place of times.
func (r Report) Sent(now time.Time) Report {
	parts := make([]PartSighting, len(r.Parts))
	for i, s := range r.Parts {
		s.CrashedAgo, s.AnsweredAgo = age(s.CrashedAt, now), age(s.AnsweredAt, now)
		parts[i] = s
	}
	answers := make([]PartAnswer, len(r.Answers))
	for i, a := range r.Answers {
		a.AnsweredAgo = age(a.AnsweredAt, now)
		answers[i] = a
	}
	r.Parts, r.Answers = parts, answers
	return r
}

// Received returns the report with times in place of ages.
func (r Report) Received(now time.Time) Report {
	parts := make([]PartSighting, len(r.Parts))
	for i, s := range r.Parts {
		s.CrashedAt, s.AnsweredAt = timeOf(s.CrashedAgo, now), timeOf(s.AnsweredAgo, now)
		if s.CrashedAt.IsZero() {
			s.CrashedAt = now
		}
		parts[i] = s
	}
	answers := make([]PartAnswer, len(r.Answers))
	for i, a := range r.Answers {
		a.AnsweredAt = timeOf(a.AnsweredAgo, now)
		answers[i] = a
	}
	r.Parts, r.Answers = parts, answers
	return r
}

// age returns how long ago a time was, at least a nanosecond; 0 for the zero time.
func age(at, now time.Time) laburnumlever.Duration {
	if at.IsZero() {
		return 0
	}
	return laburnumlever.Duration(max(1, now.Sub(at)))
}

func timeOf(ago laburnumlever.Duration, now time.Time) time.Time {
	if ago <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ago))
}
