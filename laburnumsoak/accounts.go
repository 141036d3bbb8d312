package laburnumsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	// usualKey is the key of the account of all callers but those below.
	usualKey, usualAccount = "usual-key", "usual"
	// Each version of the manifest has the rolling keys of its own number and of the one before.
	rollingPrefix, rollingAccount = "rolling-", "rolling"
	rollingPause                  = 30 * time.Millisecond
	// rollingSpan is how many versions back the rolling keys of callers go.
	rollingSpan = 5
	// revokeTime is the time after which a key that was taken away must run nowhere.
	revokeTime = 4 * time.Second

	hotPrefix, hotAccount, hotKey = "hot-", "hot", "hot-key"
	hotCallers                    = 3
	hotPause                      = 5 * time.Millisecond
	// The quota of the hot account, and the terms on which it is checked.
	quotaRate, quotaBurst      = 20, 10
	quotaOvershoot, quotaSlack = 0.1, 4
	quotaWindow                = 4 * time.Second
	quotaAllowed               = (quotaRate*4+quotaBurst)*(1+quotaOvershoot) + quotaSlack
)

// keyedRequest is a request of the rolling or the hot account.
type keyedRequest struct {
	// version is that of its rolling key; 0 for the hot account.
	version int
	sentAt  time.Time
	ran     bool
}

// accountsOf returns the client accounts of a version of the manifest.
func accountsOf(version int) []laburnumstandin.PlatformAccount {
	return []laburnumstandin.PlatformAccount{
		{Name: usualAccount, Keys: []string{usualKey}},
		{Name: rollingAccount, Keys: []string{rollingKey(version), rollingKey(version - 1)}},
		{Name: hotAccount, Keys: []string{hotKey}, Rate: quotaRate, Burst: quotaBurst},
	}
}

func rollingKey(version int) string { return fmt.Sprintf("%s%d", rollingPrefix, version) }

// useAccounts sends requests of the rolling and the hot account until ctx ends.
func (l *load) useAccounts(ctx context.Context) {
	l.repeat(ctx, rollingPause, func(int) {
		l.sendRolling(max(1, l.record.newest()+1-rand.IntN(rollingSpan)), l.fleet.anyGateway())
	})
	for range hotCallers {
		l.repeat(ctx, hotPause, func(int) {
			id := fmt.Sprintf("%s%d", hotPrefix, l.calls.Add(1))
			l.sendKeyed(id, hotKey, 0, l.fleet.anyGateway())
		})
	}
}

// sendRolling sends a booking with a rolling key and returns the status; 0 for no answer.
func (l *load) sendRolling(version, gateway int) int {
	id := fmt.Sprintf("%s%d-%d", rollingPrefix, version, l.calls.Add(1))
	return l.sendKeyed(id, rollingKey(version), version, gateway)
}

func (l *load) sendKeyed(id, key string, version, gateway int) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	l.record.keyedSent(id, version)
	status, _, err := l.caller.WithKey(key).Confirm(ctx, l.fleet.gateway(gateway), id, "visit")
	l.record.bookingEnded(id, status, err)
	if err != nil {
		return 0
	}
	return status
}

// checkKeys checks, once all faults are over, that each gateway accepts the newest key and refuses one that was taken away.
func (l *load) checkKeys(ctx context.Context) {
	newest := l.record.newest()
	for gateway := range gatewayVMs {
		if !await(ctx, recoveryTimeout, func() bool { return l.sendRolling(newest, gateway) == http.StatusOK }) {
			l.record.violated("gateway-%d does not accept the key of version %d", gateway+1, newest)
		}
		if !await(ctx, recoveryTimeout, func() bool { return l.sendRolling(newest-2, gateway) == http.StatusUnauthorized }) {
			l.record.violated("gateway-%d does not refuse a key that version %d took away", gateway+1, newest)
		}
	}
}

// newest returns the highest acknowledged version.
func (r *recorder) newest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestAcknowledged(time.Now())
}

func (r *recorder) keyedSent(id string, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keyed[id] = &keyedRequest{version: version, sentAt: time.Now()}
}

// ranFor checks the client account for which a backend server runs a request.
func (r *recorder) ranFor(id, account string) {
	want := usualAccount
	switch {
	case strings.HasPrefix(id, rollingPrefix):
		want = rollingAccount
	case strings.HasPrefix(id, hotPrefix):
		want = hotAccount
	}
	if account != want {
		r.violated("request %s ran for account %q, want %q", id, account, want)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.keyed[id]; q != nil {
		q.ran = true
	}
}

// checkAccounts checks what ran with keys that were taken away, and beyond the quota. The caller holds mu.
func (r *recorder) checkAccounts() {
	var hot []time.Time
	for id, q := range r.keyed {
		switch {
		case !q.ran:
		case q.version == 0:
			hot = append(hot, q.sentAt)
		default:
			r.checkRevoked(id, *q)
		}
	}
	slices.SortFunc(hot, time.Time.Compare)
	first := 0
	for i, at := range hot {
		for at.Sub(hot[first]) >= quotaWindow {
			first++
		}
		if n := i - first + 1; float64(n) > quotaAllowed {
			r.addViolation("%d requests of the account %s ran that were sent within %s, %.0f allowed", n, hotAccount, quotaWindow, quotaAllowed)
			return
		}
	}
}

// checkRevoked checks that a request with a rolling key was not sent too long after the change that took the key away.
func (r *recorder) checkRevoked(id string, q keyedRequest) {
	for _, a := range r.acked {
		if a.version >= q.version+2 && q.sentAt.Sub(a.at) > revokeTime {
			r.addViolation("request %s ran, sent %s after version %d had taken its key away", id, q.sentAt.Sub(a.at), a.version)
			return
		}
	}
}
