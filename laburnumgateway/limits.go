package laburnumgateway

import (
	"net/http"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumbalance"

	"github.com/go-kit/log/level"
)

// limitKey identifies one incarnation of a backend server.
type limitKey struct {
	backend     laburnumlever.BackendID
	incarnation uint64
}

// namedLimit is the limit that a backend server named, in requests per second from all VMs.
type namedLimit struct {
	perSecond float64
	namedAt   time.Time
}

// observeLimit records the limit that an answer names. An answer without one ends a limit if the
// server has run the request and the request was sent after the limit was named: answers overtake
// each other, and a refusal need not name it.
func (f *Fleet) observeLimit(ticket *laburnumbalance.Ticket, sentAt time.Time, status int, headers laburnumlever.AnswerHeaders) {
	to := ticket.Backend
	if headers.LimitError != nil {
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventLimitUnclear, "backend", to.Backend, "cause", headers.LimitError)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := limitKey{backend: to.Backend, incarnation: to.Incarnation}
	old, limited := f.limits[key]
	switch {
	case headers.HasLimit && (!limited || old.perSecond != headers.Limit):
		f.limits[key] = namedLimit{perSecond: headers.Limit, namedAt: f.timers.Now()}
		_ = level.Info(f.logger).Log("event", laburnumlever.EventLimitChanged, "backend", to.Backend, "limit", headers.Limit)
	case !headers.HasLimit && limited && status == http.StatusOK && sentAt.After(old.namedAt):
		delete(f.limits, key)
		_ = level.Info(f.logger).Log("event", laburnumlever.EventLimitChanged, "backend", to.Backend, "limit", "none")
	default:
	}
}
