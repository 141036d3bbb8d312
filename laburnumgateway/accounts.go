package laburnumgateway

import (
	"context"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumrevocation"
	"laburnumlever/laburnumroutes"
	"laburnumlever/laburnumtimer"

	"github.com/go-kit/log/level"
)

const (
	// confirmPeriod is the age of the last confirmation at which the next one is requested.
	confirmPeriod = time.Second
	// confirmCheckPeriod is the interval between checks of that age, and between attempts after a failure.
	confirmCheckPeriod = 250 * time.Millisecond
	// startConfirmPause is the time between attempts of a gateway that has just started.
	startConfirmPause = 50 * time.Millisecond
	// confirmWait bounds the time that a request waits for a confirmation.
	confirmWait = 300 * time.Millisecond
	// confirmWaitShare is the largest share of the caller's timeout that is spent on it.
	confirmWaitShare = 0.33
	// unconfirmedRetryAfter is the minimum Retry-After while keys can't be confirmed.
	unconfirmedRetryAfter = time.Second
)

// RoutesConfirmer asks control VMs whether the route table in effect is the newest, and fetches the newest. The
// results arrive by Fleet.ConfirmRoutes and Fleet.HandleRoutes.
type RoutesConfirmer interface {
	Confirm(ctx context.Context) error
}

// KeyTimes bound how long keys are accepted without a confirmation that the route table is the newest.
type KeyTimes struct {
	// Revoke is the time after which a revoked key must be refused everywhere; 0 for no bound.
	Revoke time.Duration
	// Apply is the time within which a new key must be known to VMs that are not cut off.
	Apply time.Duration
}

// WithRoutesConfirmer sets how keys are kept current; by default each key of the table in effect is accepted.
func WithRoutesConfirmer(c RoutesConfirmer, times KeyTimes) FleetOption {
	return func(f *Fleet) {
		f.keys.confirmer, f.keys.times = c, times
		f.keys.view = laburnumrevocation.NewView(times.Revoke)
	}
}

// keys is what a gateway knows of how current the keys of its client accounts are. It is safe for concurrent use.
type keys struct {
	confirmer RoutesConfirmer
	times     KeyTimes

	mu   sync.Mutex
	view *laburnumrevocation.View
	// asking is closed when the confirmation that is being requested has arrived or failed; nil without one.
	asking chan struct{}
	// askedAt is when it was requested.
	askedAt time.Duration
	// failedAt is when a confirmation last failed.
	failedAt time.Duration
	failed   bool
	// unconfirmed is set while the log says that keys are refused.
	unconfirmed bool
}

func newKeys() keys { return keys{view: laburnumrevocation.NewView(0)} }

// ConfirmRoutes records that no table newer than the version had been acknowledged at a time of
// laburnumtimer.SinceBoot.
func (f *Fleet) ConfirmRoutes(version uint64, asOf time.Duration) {
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	f.keys.view.Confirm(laburnumrevocation.Confirmation{Version: version, AsOf: asOf})
}

// AcceptsKeys reports whether keys of the route table in effect may be accepted.
func (f *Fleet) AcceptsKeys() bool {
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	return f.keys.view.Accepts(laburnumtimer.SinceBoot())
}

// setVersion records the version of the route table in effect.
func (k *keys) setVersion(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.SetVersion(version)
}

// accepted reports whether keys of a table may be accepted, and whether keys that it lacks are certainly unknown. A table
// that has just been replaced is not accepted.
func (k *keys) accepted(x *laburnumroutes.Index) (accepts, complete bool) {
	if k.confirmer == nil {
		return true, true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := laburnumtimer.SinceBoot()
	age, ok := k.view.Age(now)
	return k.view.AcceptsVersion(x.Table().Version, now), ok && age < k.times.Apply
}

// status returns whether the keys of a table are accepted; nil for a table without client accounts.
func (k *keys) status(x *laburnumroutes.Index) *laburnumlever.KeysStatus {
	t := x.Table()
	if !t.ChecksKeys() {
		return nil
	}
	status := &laburnumlever.KeysStatus{Accounts: len(t.Accounts)}
	for _, a := range t.Accounts {
		status.Keys += len(a.Keys)
	}
	status.Accepted, _ = k.accepted(x)
	k.mu.Lock()
	defer k.mu.Unlock()
	if age, ok := k.view.Age(laburnumtimer.SinceBoot()); ok {
		status.Age = laburnumlever.Duration(age)
	}
	return status
}

// requestConfirmation requests a confirmation unless one is being requested, and returns a channel that is closed when it
// has arrived or failed. It returns nil right after a failure. It does not block.
func (f *Fleet) requestConfirmation() <-chan struct{} {
	k := &f.keys
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asking != nil {
		return k.asking
	}
	if k.failed && laburnumtimer.SinceBoot()-k.failedAt < k.retryPause() {
		return nil
	}
	k.asking, k.askedAt = make(chan struct{}), laburnumtimer.SinceBoot()
	go f.confirm(k.asking)
	return k.asking
}

// refresh requests a confirmation and waits for it at most for the given time. It does nothing right after a failure.
func (f *Fleet) refresh(ctx context.Context, wait time.Duration) {
	asking := f.requestConfirmation()
	if asking == nil || wait <= 0 {
		return
	}
	over, cancel := laburnumtimer.AfterChannel(f.timers, wait)
	defer cancel()
	select {
	case <-asking:
	case <-over:
	case <-ctx.Done():
	}
}

// retryPause is the time after a failure in which no confirmation is requested. The caller holds mu.
func (k *keys) retryPause() time.Duration {
	if _, ok := k.view.Age(0); !ok {
		return startConfirmPause
	}
	return confirmCheckPeriod
}

func (f *Fleet) confirm(done chan struct{}) {
	err := f.keys.confirmer.Confirm(context.Background())
	k := &f.keys
	k.mu.Lock()
	now := laburnumtimer.SinceBoot()
	k.asking, k.failed, k.failedAt = nil, err != nil, now
	accepts := k.view.Accepts(now)
	age, _ := k.view.Age(now)
	changed := k.unconfirmed == accepts
	k.unconfirmed = !accepts
	k.mu.Unlock()
	close(done)
	switch {
	case !changed:
	case accepts:
		_ = level.Info(f.logger).Log("event", laburnumlever.EventKeysConfirmed, "routes-version", f.RoutesVersion())
	default:
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventKeysUnconfirmed, "routes-version", f.RoutesVersion(), "age-ms", millis(age), "cause", err)
	}
}

// keepConfirmed requests a confirmation if the last one is old. It does not block.
func (f *Fleet) keepConfirmed() {
	x := f.index.Load()
	if f.keys.confirmer == nil || x == nil || !x.Table().ChecksKeys() {
		return
	}
	f.keys.mu.Lock()
	age, ok := f.keys.view.Age(laburnumtimer.SinceBoot())
	f.keys.mu.Unlock()
	if !ok || age >= confirmPeriod {
		f.requestConfirmation()
	}
}

// StartConfirming keeps the route table confirmed.
func (f *Fleet) StartConfirming() {
	f.timers.Every(confirmCheckPeriod, func(time.Time) { f.keepConfirmed() })
}

// servesKeys reports whether requests can be served as far as keys are concerned: that of at least one route.
func (f *Fleet) servesKeys(x *laburnumroutes.Index) bool {
	if !x.Table().ChecksKeys() || x.HasPublic() {
		return true
	}
	accepts, _ := f.keys.accepted(x)
	return accepts
}

// currentIndex returns the route table to use for a key. It first requests a confirmation if the key can't be
// decided on without one.
func (f *Fleet) currentIndex(ctx context.Context, x *laburnumroutes.Index, caller laburnumlever.CallerRequest) *laburnumroutes.Index {
	if !x.Table().ChecksKeys() {
		return x
	}
	accepts, complete := f.keys.accepted(x)
	if accepts && (complete || x.Account(caller.Key) != nil) {
		return x
	}
	f.awaitConfirmation(ctx, caller)
	return f.index.Load()
}

// awaitConfirmation requests a confirmation and waits for it, no longer than one usually takes from when it was requested. A gateway that
// has just started waits longer, as it does for its first route table, and asks again: after an outage of all VMs the log has no leader
// for a while.
func (f *Fleet) awaitConfirmation(ctx context.Context, caller laburnumlever.CallerRequest) {
	started := f.keys.everConfirmed()
	wait := confirmWait - f.keys.askedFor()
	if !started {
		wait = firstRoutesWait
	}
	if caller.Timeout > 0 {
		wait = min(wait, time.Duration(confirmWaitShare*float64(caller.Timeout)))
	}
	until := f.timers.Now().Add(wait)
	f.refresh(ctx, wait)
	for !started && !f.keys.everConfirmed() && f.timers.Now().Before(until) {
		if !laburnumtimer.Wait(ctx.Done(), f.timers, startConfirmPause) {
			return
		}
		f.refresh(ctx, until.Sub(f.timers.Now()))
	}
}

// askedFor returns how long a confirmation has been requested; 0 if none is.
func (k *keys) askedFor() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asking == nil {
		return 0
	}
	return laburnumtimer.SinceBoot() - k.askedAt
}

// everConfirmed reports whether a confirmation of the table in effect has arrived since the start.
func (k *keys) everConfirmed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.view.Age(0)
	return ok
}

// identify finds the request's client account. The error is a *laburnumlever.RefusalError.
func (f *Fleet) identify(q *request, x *laburnumroutes.Index) error {
	if !x.Table().ChecksKeys() {
		return nil
	}
	q.checksKeys = true
	accepts, complete := f.keys.accepted(x)
	if accepts {
		q.account, q.accountIndex = x.Account(q.caller.Key), x
	}
	switch {
	case q.account != nil || q.route.Public:
		return nil
	case !accepts || !complete:
		return newRefusal(laburnumlever.RefusedKeysUnconfirmed, unconfirmedRetryAfter, "no control VM has confirmed recently that the key is valid")
	default:
		return newRefusal(laburnumlever.RefusedUnknownKey, 0, "the key belongs to no client account")
	}
}

// recheckKey refuses a request whose key has been revoked since it was identified, or may have been.
func (f *Fleet) recheckKey(ctx context.Context, q *request) error {
	if q.account == nil {
		return nil
	}
	x := f.currentIndex(ctx, f.index.Load(), q.caller)
	if accepts, _ := f.keys.accepted(x); !accepts {
		return newRefusal(laburnumlever.RefusedKeysUnconfirmed, unconfirmedRetryAfter, "no control VM has confirmed recently that the key is valid")
	}
	if x == q.accountIndex {
		return nil
	}
	if a := x.Account(q.caller.Key); x.Table().ChecksKeys() && (a == nil || a.Name != q.account.Name) {
		return newRefusal(laburnumlever.RefusedUnknownKey, 0, "the key was revoked while the request waited")
	}
	q.accountIndex = x
	return nil
}
