package laburnumrouter

import (
	"math"
	"time"

	"laburnumlever"
)

const (
	// fullWeightAge is how long a report counts in full.
	fullWeightAge = time.Second
	// zeroWeightAge is when it no longer counts.
	zeroWeightAge = 10 * time.Second
	// tokenTimeWeight of the newest answer in the running mean of the pace.
	tokenTimeWeight = 0.2
	// failureWeight of the newest attempt in the share of failures.
	failureWeight = 0.3
	// failurePenalty multiplies the score of a server that fails always.
	failurePenalty  = 50
	failureHalfLife = 5 * time.Second
	// probeInterval is how long a server is passed over before it is probed.
	probeInterval = 2 * time.Second
	// defaultTokenTime, 50 tokens a second, stands for a server of which nothing is known.
	// It is an ordinary one's: a worse figure would keep the server from ever being
	// tried beside one that has been measured.
	defaultTokenTime = 0.02
	// promptTokensPerAnswerToken: a prompt's token takes about an eighth of an answer's.
	promptTokensPerAnswerToken = 8
)

// Sample is how an attempt went.
type Sample struct {
	// Took is from the attempt's start to the end of its answer.
	Took time.Duration
	// Prompt and Answer are its tokens; a plain call has 1 and 1.
	Prompt int
	Answer int
	// Failed tells that it broke or could not be sent. Cancelled work and an answer
	// with an error status of a plain service are neither.
	Failed bool
	// Busy tells that the server had no room.
	Busy bool
	// Skipped tells that nothing can be learnt: the caller went away.
	Skipped bool
}

// Server is a backend server as this VM's router knows it.
type Server struct {
	announcement   laburnumlever.Announcement
	models         []laburnumlever.ModelName
	generation     uint64
	local          bool
	inFlight       int
	sequence       uint64
	othersInFlight float64 // in flight beyond this VM's own, by the last report
	reportedAt     time.Time
	tokenTime      float64 // seconds a token; 0 before the first answer
	failures       float64 // share of failed attempts
	failedAt       time.Time
	lastPick       time.Time
}

// ID is the backend server's name.
func (s *Server) ID() laburnumlever.BackendID { return s.announcement.Backend }

// Announcement is the newest that the backend server gave.
func (s *Server) Announcement() laburnumlever.Announcement { return s.announcement }

// InFlight is how many requests of this VM it works on.
func (s *Server) InFlight() int { return s.inFlight }

// Begin counts a request as sent to the server.
func (s *Server) Begin(now time.Time) {
	s.inFlight++
	s.lastPick = now
}

// End counts it as over and learns from it.
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
		// No pace is learnt: a server that fails fast must not look quick.
		s.failures += failureWeight * (1 - s.failures)
		return
	}
	s.failures -= failureWeight * s.failures
	tokens := float64(sample.Prompt)/promptTokensPerAnswerToken + float64(sample.Answer)
	tokenTime := sample.Took.Seconds() / max(1, tokens)
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

// load is the number of requests on the server as far as this VM can tell.
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

// score is the lower the better: how long one more request is likely to take.
func (s *Server) score(now time.Time, medianTokenTime float64) float64 {
	tokenTime := s.tokenTime
	if tokenTime == 0 {
		tokenTime = s.initialTokenTime(medianTokenTime)
	}
	return (s.load(now) + 1) / s.slots() * tokenTime * (1 + failurePenalty*s.failureShare(now))
}

// initialTokenTime stands in until the first answer has been measured.
func (s *Server) initialTokenTime(medianTokenTime float64) float64 {
	if medianTokenTime > 0 {
		return medianTokenTime
	}
	if s.announcement.TokensPerSecond > 0 {
		return s.slots() / s.announcement.TokensPerSecond
	}
	return defaultTokenTime
}

// wantsProbe tells whether the server was passed over long enough for what is known
// of it to be old.
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
