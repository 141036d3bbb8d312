package laburnumrouter

import (
	"math"
	"time"

	"laburnumlever"
)

const (
	// fullWeightAge is the age up to which a report has full weight.
	fullWeightAge = time.Second
	// zeroWeightAge is the age from which a report has no weight.
	zeroWeightAge = 10 * time.Second
	// tokenTimeWeight is the weight of the newest answer in the average token time.
	tokenTimeWeight = 0.2
	// failureWeight is the weight of the newest attempt in the share of failures.
	failureWeight = 0.3
	// failurePenalty multiplies the score of a server that always fails.
	failurePenalty  = 50
	failureHalfLife = 5 * time.Second
	// probeInterval is how long a server gets no requests before it is probed.
	probeInterval = 2 * time.Second
	// defaultTokenTime, 50 tokens per second, is used when nothing is known of a server. It
	// is a typical value: with a worse one the server would never be tried beside a server
	// that has been measured.
	defaultTokenTime = 0.02
	// promptTokensPerAnswerToken is how many prompt tokens take as long as one answer token.
	promptTokensPerAnswerToken = 8
)

// Sample is the result of an attempt.
type Sample struct {
	// Duration is the time from the attempt's start to the end of its answer.
	Duration time.Duration
	// PromptTokens and AnswerTokens are 1 each for a request to a plain service.
	PromptTokens int
	AnswerTokens int
	// Failed means that it could not be sent or its answer broke off. Cancelled requests and
	// error statuses from plain services are not failures.
	Failed bool
	// Busy means that the server had no free slot.
	Busy bool
	// Skipped means that the sample is not used, for example because the caller cancelled.
	Skipped bool
}

// Server is the router's state for one backend server.
type Server struct {
	announcement   laburnumlever.Announcement
	models         []laburnumlever.ModelName
	generation     uint64
	local          bool
	inFlight       int
	sequence       uint64
	othersInFlight float64 // requests beyond this VM's own, from the last report
	reportedAt     time.Time
	tokenTime      float64 // seconds per token; 0 before the first answer
	failures       float64 // share of failed attempts
	failedAt       time.Time
	lastPick       time.Time
}

// ID returns the backend server's ID.
func (s *Server) ID() laburnumlever.BackendID { return s.announcement.Backend }

// Announcement returns the backend server's latest announcement.
func (s *Server) Announcement() laburnumlever.Announcement { return s.announcement }

// InFlight returns the number of this VM's requests on the server.
func (s *Server) InFlight() int { return s.inFlight }

// Begin adds a request to the server's requests in flight.
func (s *Server) Begin(now time.Time) {
	s.inFlight++
	s.lastPick = now
}

// End removes a request from those in flight and applies its sample.
func (s *Server) End(sample Sample, now time.Time) {
	s.inFlight--
	if sample.Skipped {
		return
	}
	if sample.Busy {
		s.othersInFlight = max(s.othersInFlight, s.slots()-float64(s.inFlight))
		s.reportedAt = now
		return
	}
	s.failures = s.failureShare(now)
	s.failedAt = now
	if sample.Failed {
		// The token time is not updated: a server that fails fast must not look fast.
		s.failures += failureWeight * (1 - s.failures)
		return
	}
	s.failures -= failureWeight * s.failures
	tokens := float64(sample.PromptTokens)/promptTokensPerAnswerToken + float64(sample.AnswerTokens)
	tokenTime := sample.Duration.Seconds() / max(1, tokens)
	if s.tokenTime == 0 {
		s.tokenTime = tokenTime
		return
	}
	s.tokenTime += tokenTimeWeight * (tokenTime - s.tokenTime)
}

func (s *Server) update(b *laburnumlever.Backend, zone laburnumlever.ZoneName) (news bool) {
	s.announcement = b.Announcement
	s.local = b.Announcement.Zone == zone
	s.models = s.models[:0]
	for i := range b.Report.Loaded {
		if b.Report.Loaded[i].Ready {
			s.models = append(s.models, b.Report.Loaded[i].Model)
		}
	}
	if b.Report.Sequence == s.sequence {
		return false
	}
	s.sequence = b.Report.Sequence
	s.othersInFlight = max(0, float64(b.Report.InFlight+b.Report.Queued-s.inFlight))
	s.reportedAt = b.ReportedAt
	return true
}

func (s *Server) slots() float64 { return float64(max(1, s.announcement.Slots)) }

// load estimates the number of requests on the server.
func (s *Server) load(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	fade := 1 - float64(age-fullWeightAge)/float64(zeroWeightAge-fullWeightAge)

	return float64(s.inFlight) + s.othersInFlight*min(1, max(0, fade))
}

func (s *Server) hasFreeSlot(now time.Time) bool { return s.load(now) < s.slots() }

func (s *Server) failureShare(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now.Sub(s.failedAt))/float64(failureHalfLife))
}

// score estimates how long one more request takes relative to other servers. Lower is
// better.
func (s *Server) score(now time.Time, medianTokenTime float64) float64 {
	tokenTime := s.tokenTime
	if tokenTime == 0 {
		tokenTime = s.initialTokenTime(medianTokenTime)
	}
	return (s.load(now) + 1) / s.slots() * tokenTime * (1 + failurePenalty*s.failureShare(now))
}

// initialTokenTime is used until the first answer has been measured, in seconds per token.
func (s *Server) initialTokenTime(medianTokenTime float64) float64 {
	if medianTokenTime > 0 {
		return medianTokenTime
	}
	if s.announcement.TokensPerSecond > 0 {
		return s.slots() / s.announcement.TokensPerSecond
	}
	return defaultTokenTime
}

// wantsProbe reports whether a slow or failing server has had no requests for so long that
// its measurements are outdated.
func (s *Server) wantsProbe(now time.Time, medianTokenTime float64) bool {
	doubtful := s.failures > 0 || (medianTokenTime > 0 && s.tokenTime > 2*medianTokenTime)
	return doubtful && s.inFlight == 0 && now.Sub(s.lastPick) >= probeInterval
}

func (s *Server) serves(model laburnumlever.ModelName) bool {
	for _, m := range s.models {
		if m == model {
			return true
		}
	}
	return false
}
