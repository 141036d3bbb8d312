package laburnumgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfeed"
	"laburnumlever/laburnumgateway"
	"laburnumlever/laburnumquota"
	"laburnumlever/laburnumtimer"
)

const (
	keyHeader     = "X-Api-Key"
	accountHeader = "X-Laburnumlever-Tenant"
	revokeTime    = 400 * time.Millisecond
)

// accountRoutes returns routes with one client account for each key, named after it; the lookup route is public.
func accountRoutes(version uint64, keys ...string) laburnumlever.RouteTable {
	t := testRoutes()
	t.Version, t.Format = version, laburnumlever.TableFormat
	t.Routes[1].Public = true
	salt := []byte("salt")
	var accounts []laburnumlever.Account
	for _, key := range keys {
		accounts = append(accounts, laburnumlever.Account{
			Name: laburnumlever.AccountName("account-of-" + key), Keys: []laburnumlever.KeyHash{laburnumlever.HashKey(salt, key)},
			Quota: laburnumlever.Quota{Rate: 10, Burst: 10},
		})
	}
	return t.WithAccounts(salt, accounts)
}

// controlVMs stand in for the control VMs of a gateway: they confirm the newest route table and grant quotas.
type controlVMs struct {
	fleet *laburnumgateway.Fleet

	mu     sync.Mutex
	routes laburnumlever.RouteTable
	cutOff bool
	left   float64
	// reserve is granted with the next ask.
	reserve float64
	asks    int
	// late is how long ago the asks of grants were sent.
	late time.Duration
	// tellLate tells the gateway what is granted later than its last ask waited.
	tellLate func([]laburnumquota.Grant)
	// held, unless nil, is what questions for confirmations are held for.
	held <-chan struct{}
}

func (c *controlVMs) Confirm(context.Context) error {
	asked := laburnumtimer.SinceBoot()
	c.mu.Lock()
	held := c.held
	c.mu.Unlock()
	if held != nil {
		<-held
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOff {
		return &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	}
	c.fleet.HandleRoutes(c.routes)
	c.fleet.ConfirmRoutes(c.routes.Version, asked)
	return nil
}

func (c *controlVMs) Grant(_ context.Context, account laburnumlever.Account, asks []laburnumquota.Ask, late func([]laburnumquota.Grant)) ([]laburnumquota.Grant, time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asks++
	c.tellLate = late
	if c.cutOff {
		return nil, 0, &laburnumlever.NotFoundError{Kind: "control VM", Name: "any"}
	}
	grant := laburnumquota.Grant{Account: account.Name, RetryIn: laburnumlever.Duration(3 * time.Second), AskIn: laburnumlever.Duration(time.Second)}
	if c.left >= asks[0].Need {
		c.left -= asks[0].Need
		grant = laburnumquota.Grant{Account: account.Name, Tokens: asks[0].Need}
	}
	if c.reserve > 0 {
		grant.Reserve = &laburnumquota.Reserve{ID: 1, Tokens: c.reserve, Quota: account.Quota}
		c.reserve = 0
	}
	return []laburnumquota.Grant{grant}, laburnumtimer.SinceBoot() - c.late, nil
}

func (c *controlVMs) set(change func(*controlVMs)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// newAccountHarness starts a gateway with client accounts and plenty of quota.
func newAccountHarness(t testing.TB, server *backend, keys ...string) (*harness, *controlVMs) {
	return newAccountHarnessWith(t, server, keys)
}

func newAccountHarnessWith(t testing.TB, server *backend, keys []string, opts ...laburnumgateway.Option) (*harness, *controlVMs) {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	c := &controlVMs{routes: accountRoutes(1, keys...), left: 1000}
	c.fleet = laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1,
		laburnumgateway.WithRoutesConfirmer(c, laburnumgateway.KeyTimes{Revoke: revokeTime, Apply: revokeTime / 2}),
		laburnumgateway.WithQuotaKeepers(c, laburnumquota.Terms{Window: 100 * time.Second, Overshoot: 0.5}))
	b := newHarnessOfFleet(t, c.fleet, timers, opts...)
	c.fleet.HandleRoutes(c.routes)
	c.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: record(server, "booking")})
	return b, c
}

// Guards against keys that are passed on and against callers who name an account themselves.
func TestBackendGetsTheAccountAndNotTheKey(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, _ := newAccountHarness(t, server, "k1", "k2")
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k2", accountHeader, "account-of-k1").status)
	require.Equal(t, 200, b.send("GET", "/lookup/x", "", accountHeader, "account-of-k1").status)
	require.Equal(t, 200, b.send("GET", "/lookup/x", "", keyHeader, "no such key").status)
	got := server.requests()
	require.Len(t, got, 3)
	for i, want := range []string{"account-of-k2", "", ""} {
		require.Equal(t, want, got[i].request.Header.Get(accountHeader))
		require.Empty(t, got[i].request.Header.Values(keyHeader))
	}
}

// Guards against callers without a valid key who make the gateway read and keep their bodies.
func TestUnknownKeyIsRefusedBeforeTheBodyIsRead(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, _ := newAccountHarness(t, server, "k1")
	for _, key := range []string{"", "k2", "account-of-k1"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
		require.NoError(t, err)
		fmt.Fprintf(conn, "POST /confirm/x HTTP/1.1\r\nHost: quotes.example\r\n%s: r-1\r\n%s: %s\r\nContent-Length: 900\r\n\r\n", idHeader, keyHeader, key)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusUnauthorized, resp.StatusCode, "key %q", key)
		require.NoError(t, resp.Body.Close())
		require.NoError(t, conn.Close())
	}
	require.Empty(t, server.requests())
}

// Guards against revoked keys that a cut-off gateway goes on to accept, and against refusals there sooner than needed.
func TestKeysOfACutOffGatewayAreRefusedAfterTheRevokeTime(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	cut := time.Now()
	c.set(func(c *controlVMs) { c.cutOff = true; c.left = 1000 })
	for time.Since(cut) < revokeTime/2 {
		if got := b.send("POST", "/confirm/x", "visit", keyHeader, "k1"); time.Since(cut) < revokeTime/2 {
			require.NotEqual(t, http.StatusUnauthorized, got.status)
		}
	}
	require.Eventually(t, func() bool { return time.Since(cut) > revokeTime }, 10*time.Second, time.Millisecond)
	before := len(server.requests())
	got := b.send("POST", "/confirm/x", "visit", keyHeader, "k1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "keys-unconfirmed\n", got.body)
	require.Len(t, server.requests(), before)
	require.Equal(t, 200, b.send("GET", "/lookup/x", "").status)
	c.set(func(c *controlVMs) { c.cutOff = false })
	require.Eventually(t, func() bool { return b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status == 200 }, 10*time.Second, 20*time.Millisecond)
}

// Guards against a new key that is refused for good by a gateway that has not heard of it yet.
func TestUnknownKeyIsLookedUpIfTheTableMayBeOld(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	c.set(func(c *controlVMs) { c.routes = accountRoutes(2, "k1", "k2") })
	known := time.Now()
	require.Eventually(t, func() bool { return time.Since(known) > revokeTime/2 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k2").status)
}

// Guards against a request that waits for a slot while its key is revoked and is then sent.
func TestKeyRevokedWhileARequestWaitsIsRefused(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	c.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: gone(server, "booking")})
	status := make(chan int)
	go func() { status <- b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status }()
	require.Eventually(t, func() bool { return c.fleet.Status().Queued == 1 }, 10*time.Second, time.Millisecond)
	c.set(func(c *controlVMs) { c.routes = accountRoutes(2, "k2") })
	c.fleet.HandleRoutes(accountRoutes(2, "k2"))
	other := newBackend(t, "i-2", answerOK)
	c.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: record(other, "booking")})
	require.Equal(t, http.StatusUnauthorized, <-status)
	require.Empty(t, other.requests())
}

// Guards against accounts beyond their quota that are served, or refused without the time to come back.
func TestOverQuotaIsRefusedAtOnceWithTheTimeToComeBack(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	c.set(func(c *controlVMs) { c.left = 2 })
	for range 2 {
		require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	}
	got := b.send("POST", "/confirm/x", "visit", keyHeader, "k1")
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.Equal(t, "over-quota\n", got.body)
	var after float64
	_, err := fmt.Sscan(got.header.Get("Retry-After"), &after)
	require.NoError(t, err)
	require.GreaterOrEqual(t, after, 2.5)
	require.Len(t, server.requests(), 2)
	require.Equal(t, 3, c.asks, "a refused account is not asked for again at once")
	require.Equal(t, http.StatusTooManyRequests, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	require.Equal(t, 3, c.asks)
}

// Guards against refusals that can't be attributed to a client account, and against keys in the log.
func TestRefusalIsLoggedWithTheAccountAndNotTheKey(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	lines := &lockedBuffer{}
	b, c := newAccountHarnessWith(t, server, []string{"key-1"}, laburnumgateway.WithLogger(log.NewLogfmtLogger(lines)))
	c.set(func(c *controlVMs) { c.left = 0 })
	require.Equal(t, http.StatusTooManyRequests, b.send("POST", "/confirm/x", "visit", keyHeader, "key-1").status)
	require.Equal(t, http.StatusUnauthorized, b.send("POST", "/confirm/x", "visit", keyHeader, "key-2").status)
	logged := lines.String()
	require.Regexp(t, `event=request-refused request-id=r-\d+ route=\S+ account=account-of-key-1 reason=over-quota`, logged)
	require.Regexp(t, `event=request-refused request-id=r-\d+ route=\S+ account= reason=unknown-key`, logged)
	require.NotContains(t, strings.ReplaceAll(logged, "account-of-key-1", ""), "key-1")
	require.NotContains(t, logged, "key-2")
}

// Guards against requests that no control VM grants a quota for and that are told to be beyond it.
func TestUnansweredQuotaIsNotToldAsUsedUp(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	c.set(func(c *controlVMs) { c.cutOff = true })
	got := b.send("POST", "/confirm/x", "visit", keyHeader, "k1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "quota-unanswered\n", got.body)
}

// Guards against callers who are told to come back after half a minute since a control VM's grant came too late to be spent.
func TestGrantThatComesLateIsNotToldAsUsedUp(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	c.set(func(c *controlVMs) { c.late = time.Minute })
	got := b.send("POST", "/confirm/x", "visit", keyHeader, "k1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "quota-unanswered\n", got.body)
	c.set(func(c *controlVMs) { c.late = 0 })
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
}

// Guards against requests below their account's quota that are refused as soon as no control VM answers.
func TestReserveServesWhileNoControlVMAnswers(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	c.set(func(c *controlVMs) { c.reserve = 2 })
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	c.set(func(c *controlVMs) { c.cutOff = true })
	for range 2 {
		require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	}
	got := b.send("POST", "/confirm/x", "visit", keyHeader, "k1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "quota-unanswered\n", got.body)
	require.Len(t, server.requests(), 3)
}

// Guards against grants that arrive later than their request waits and are thrown away, though their reserves last for seconds.
func TestReserveOfALateGrantIsSpent(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	c.set(func(c *controlVMs) { c.cutOff = true })
	require.Equal(t, http.StatusServiceUnavailable, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	account := c.routes.Accounts[0]
	c.tellLate([]laburnumquota.Grant{{
		Account: account.Name, Tokens: 5, Asked: laburnumtimer.SinceBoot() - 20*time.Second,
		Reserve: &laburnumquota.Reserve{ID: 1, Tokens: 1, Quota: account.Quota},
	}})
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	require.Equal(t, http.StatusServiceUnavailable, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status, "only the reserve lasts")
}

// Guards against reserves that lie idle while their account is refused.
func TestReserveIsSpentBeforeAnAccountIsRefused(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	c.set(func(c *controlVMs) { c.left, c.reserve = 1, 2 })
	for range 3 {
		require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	}
	require.Equal(t, http.StatusTooManyRequests, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
}

// Guards against requests that never ran and use up their account's quota.
func TestRequestThatDidNotRunIsRefunded(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	c.set(func(c *controlVMs) { c.left = 1 })
	c.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: gone(server, "booking")})
	require.Equal(t, http.StatusServiceUnavailable, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	other := newBackend(t, "i-2", answerOK)
	c.fleet.HandleAnswer("", laburnumfeed.Answer{Backends: record(other, "booking")})
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	require.Equal(t, 1, c.asks)
	require.Equal(t, http.StatusTooManyRequests, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
}

// Guards against keys that stay unchecked since the table came from a VM of an earlier build, which knows no accounts.
func TestTableWithAccountsReplacesTheSameTableWithout(t *testing.T) {
	server := newBackend(t, "i-1", answerOK)
	b, c := newAccountHarness(t, server, "k1")
	old := testRoutes()
	old.Version = 2
	c.fleet.HandleRoutes(old)
	c.set(func(c *controlVMs) { c.routes = accountRoutes(2, "k1") })
	c.fleet.HandleRoutes(accountRoutes(2, "k1"))
	require.Equal(t, http.StatusUnauthorized, b.send("POST", "/confirm/x", "visit").status)
}

// Guards against timers that stand still, and with them all deadlines of the queue, while control VMs don't answer.
func TestTimersGoOnWhileAConfirmationIsAwaited(t *testing.T) {
	timers := laburnumtimer.New()
	t.Cleanup(timers.Close)
	c := &hangingConfirmer{asked: make(chan struct{}), release: make(chan struct{})}
	fleet := laburnumgateway.NewFleet(timers, laburnumlever.VM{ID: "10.0.0.1", Zone: "brest"}, time.Second, 1,
		laburnumgateway.WithRoutesConfirmer(c, laburnumgateway.KeyTimes{Revoke: revokeTime, Apply: revokeTime}))
	fleet.StartConfirming()
	go fleet.HandleRoutes(accountRoutes(1, "k1"))
	<-c.asked
	fired := make(chan struct{})
	timers.After(time.Second, func(time.Time) { close(fired) })
	select {
	case <-fired:
	case <-time.After(10 * time.Second):
		t.Error("a timer waits for the control VMs")
	}
	require.Equal(t, uint64(1), fleet.RoutesVersion())
	close(c.release)
}

// Guards against callers who each wait for a question that control VMs hold, although it is late already.
func TestRequestIsRefusedAtOnceWhileAQuestionIsLate(t *testing.T) {
	const usual = 300 * time.Millisecond // how long a confirmation may be waited for
	b, c := newAccountHarness(t, newBackend(t, "i-1", answerOK), "k1")
	require.Equal(t, 200, b.send("POST", "/confirm/x", "visit", keyHeader, "k1").status)
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	c.set(func(c *controlVMs) { c.held = held })
	cut := time.Now()
	require.Eventually(t, func() bool { return time.Since(cut) > revokeTime }, 10*time.Second, time.Millisecond)
	require.Equal(t, "keys-unconfirmed\n", b.send("POST", "/confirm/x", "visit", keyHeader, "k1").body)
	began := time.Now()
	require.Equal(t, "keys-unconfirmed\n", b.send("POST", "/confirm/x", "visit", keyHeader, "k1").body)
	require.Less(t, time.Since(began), usual/2)
}

// hangingConfirmer does not answer until it is released.
type hangingConfirmer struct {
	once           sync.Once
	asked, release chan struct{}
}

func (c *hangingConfirmer) Confirm(context.Context) error {
	c.once.Do(func() { close(c.asked) })
	<-c.release
	return nil
}
