package laburnumsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlever/laburnumstandin"
)

const (
	returnEngineService, returnPlainService = "assist-llm", "dispatch-app"
	returnHost                              = "quotes.example"
	returnAccounts                          = 16
	returnCallTimeout                       = 6 * time.Second
	accountSkew                             = 1.2
	// quotaFactor is by how much a quota exceeds what its account usually uses, quotaFloor the least one.
	quotaFactor, quotaFloor = 1.8, 1900
	tokensPerRequest        = 630
)

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

// returnRoute is a route of the deployment and its share of the requests.
type returnRoute struct {
	name, kind string
	timeoutMS  int
	attempts   int
	engine     bool
	share      float64
}

var returnRoutes = []returnRoute{
	{name: "fault-diagnosis", kind: "streaming", timeoutMS: 12000, attempts: 1, engine: true, share: 212},
	{name: "overnight-report", kind: "streaming", timeoutMS: 20000, attempts: 2, engine: true, share: 51},
	{name: "log-tagging", kind: "streaming", timeoutMS: 4000, attempts: 1, engine: true, share: 222},
	{name: "part-order", kind: "non_idempotent", timeoutMS: 600, attempts: 1, share: 200},
	{name: "stock-lookup", kind: "idempotent", timeoutMS: 600, attempts: 2, share: 46},
}

// returnCall is a caller's request.
type returnCall struct {
	at      time.Time
	gateway int
	reason  string // empty if it was served
	ms      int64
	engine  bool
}

// returnLoad generates the requests of callers and an operator.
type returnLoad struct {
	fleet   *returnFleet
	client  *http.Client
	version atomic.Int64
	calls   atomic.Int64
	skew    skew

	mu   sync.Mutex
	done []returnCall
}

func newReturnLoad(f *returnFleet) *returnLoad {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &returnLoad{fleet: f, skew: newSkew(dialer), client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16}}}
}

// run sends requests at the rate until ctx ends.
func (l *returnLoad) run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var all sync.WaitGroup
		ticker := time.NewTicker(time.Duration(float64(time.Second) / l.fleet.cfg.Rate))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				all.Wait()
				return
			case <-ticker.C:
				all.Go(func() { l.send(ctx) })
			}
		}
	}()
	return done
}

func (l *returnLoad) send(ctx context.Context) {
	total := 0.0
	for _, r := range returnRoutes {
		total += r.share
	}
	pick := rand.Float64() * total
	route := returnRoutes[0]
	for _, r := range returnRoutes {
		if pick -= r.share; pick < 0 {
			route = r
			break
		}
	}
	call := returnCall{at: time.Now(), gateway: l.pickGateway(), engine: route.engine}
	call.reason = l.request(ctx, route, call.gateway)
	for tries := 1; tries < maxUnreadTries && l.skew.on.Load() && isUnread(call.reason); tries++ {
		l.skew.unread.Add(1)
		call.gateway = rand.IntN(len(l.fleet.gateways))
		call.reason = l.request(ctx, route, call.gateway)
	}
	call.ms = time.Since(call.at).Milliseconds()
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, call)
}

// request sends a request and returns why it was not served.
func (l *returnLoad) request(ctx context.Context, route returnRoute, gateway int) string {
	ctx, cancel := context.WithTimeout(ctx, min(returnCallTimeout, time.Duration(route.timeoutMS)*time.Millisecond+500*time.Millisecond))
	defer cancel()
	url := "http://" + l.fleet.address(firstGateway+gateway, callerPort) + "/" + route.name + "/x"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, 600)))
	if err != nil {
		return err.Error()
	}
	req.Host = returnHost
	name := ""
	if route.engine {
		model := rand.IntN(20)
		if rand.IntN(4) == 0 {
			model = rand.IntN(min(50, l.fleet.cfg.Models))
		}
		name = modelName(model)
	}
	laburnumstandin.SetModelHeaders(req.Header, fmt.Sprintf("r-%d", l.calls.Add(1)), accountKey(pickAccount()), name, "500,35")
	client := l.client
	if l.skew.on.Load() {
		client = l.skew.client
	}
	resp, err := client.Do(req)
	if err != nil {
		return shortCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut"
	}
	if resp.StatusCode != http.StatusOK {
		var refused struct{ Type, Message string }
		_ = json.Unmarshal(body, &refused) // another body shows the status alone
		return fmt.Sprintf("%d %s %s", resp.StatusCode, refused.Type, resp.Header.Get("Retry-After"))
	}
	return ""
}

func shortCause(err error) string {
	text := err.Error()
	for _, cause := range []string{"connection refused", "reset", "EOF", "deadline", "timeout"} {
		if strings.Contains(text, cause) {
			return cause
		}
	}
	return text
}

// share returns the share served of the requests sent in a span; -1 for none.
func (l *returnLoad) share(from, to time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	served, sent := 0, 0
	for _, c := range l.done {
		if c.at.Before(from) || !c.at.Before(to) {
			continue
		}
		sent++
		if c.reason == "" {
			served++
		}
	}
	if sent == 0 {
		return -1
	}
	return float64(served) / float64(sent)
}

func (l *returnLoad) refusals(from, to time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, c := range l.done {
		if c.reason != "" && !c.at.Before(from) && c.at.Before(to) {
			counts[c.reason]++
		}
	}
	return counts
}

// firstServed returns when each gateway first answered a request that was sent later than a moment.
func (l *returnLoad) firstServed(after time.Time) map[int]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := map[int]time.Time{}
	for _, c := range l.done {
		end := c.at.Add(time.Duration(c.ms) * time.Millisecond)
		if known, ok := first[c.gateway]; c.reason == "" && end.After(after) && c.at.After(after) && (!ok || end.Before(known)) {
			first[c.gateway] = end
		}
	}
	return first
}

// accountShare is the share of the requests that an account sends.
func accountShare(i int) float64 {
	total := 0.0
	for j := range returnAccounts {
		total += math.Pow(float64(j+1), -accountSkew)
	}
	return math.Pow(float64(i+1), -accountSkew) / total
}

func pickAccount() int {
	pick := rand.Float64()
	for i := range returnAccounts {
		if pick -= accountShare(i); pick < 0 {
			return i
		}
	}
	return 0
}

// accountRate is the quota of an account in tokens a second.
func (l *returnLoad) accountRate(i int) float64 {
	return max(quotaFloor, quotaFactor*accountShare(i)*l.fleet.cfg.Rate*tokensPerRequest)
}

func accountKey(i int) string { return fmt.Sprintf("key-of-account-%d", i) }

// manifest is the manifest of a version.
func (l *returnLoad) manifest(version int64) []byte {
	type object = map[string]any
	var routes, tenants, models []object
	for _, r := range returnRoutes {
		service := returnPlainService
		if r.engine {
			service = returnEngineService
		}
		routes = append(routes, object{
			"name": r.name, "hostname": returnHost, "path_prefix": "/" + r.name + "/", "kind": r.kind, "timeout_ms": r.timeoutMS,
			"target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": r.attempts,
		})
	}
	for i := range l.fleet.cfg.IdleRoutes {
		routes = append(routes, object{
			"name": fmt.Sprintf("idle-%d", i), "hostname": returnHost, "path_prefix": fmt.Sprintf("/idle-%d-%d/", i, version), "kind": "idempotent", "timeout_ms": 600,
			"target_latency_ms": 100, "priority": 1, "service": returnPlainService, "max_attempts": 1,
		})
	}
	for i := range returnAccounts {
		tenants = append(tenants, object{
			"name": fmt.Sprintf("account-%d", i), "api_keys": []string{accountKey(i)}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": l.accountRate(i), "burst": 2 * l.accountRate(i),
		})
	}
	for i := range l.fleet.cfg.Models {
		models = append(models, object{"name": modelName(i), "weights_mb": 72700, "load_s": 4.2, "warm_s": 0.63, "disk_s": 0.84, "adapters": 0, "adapter_mb": 66})
	}
	body, _ := json.Marshal(object{ //nolint:errchkjson // texts and numbers only
		"version": version, "routes": routes,
		"services": []object{
			{
				"name": returnEngineService, "health_path": "/health", "max_conns": l.fleet.cfg.Connections,
				"engine": object{"slots": 24, "kv_capacity": 58902, "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 10, "models": models},
			},
			{"name": returnPlainService, "health_path": "/health", "max_conns": 470},
		},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, "tenants": tenants,
	})
	return body
}

// apply sends the next change to any control VM and reports whether it is acknowledged.
func (l *returnLoad) apply(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	version := l.version.Load() + 1
	status, _ := l.operator(ctx, http.MethodPut, l.manifest(version))
	if status != http.StatusOK {
		return false
	}
	l.version.CompareAndSwap(version-1, version)
	return true
}

// read returns the status and the version of the manifest at any control VM.
func (l *returnLoad) read(ctx context.Context) (int, int64) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	status, body := l.operator(ctx, http.MethodGet, nil)
	var m struct{ Version int64 }
	_ = json.Unmarshal(body, &m) // an error leaves version 0
	return status, m.Version
}

// noteVersion takes over the version in force: a change that got no answer may be in force.
func (f *returnFleet) noteVersion(l *returnLoad) {
	if status, version := l.read(context.Background()); status == http.StatusOK && version > l.version.Load() {
		l.version.Store(version)
	}
}

func (l *returnLoad) operator(ctx context.Context, method string, body []byte) (int, []byte) {
	controls := l.fleet.controlList()
	control := controls[rand.IntN(len(controls))]
	if control.gone {
		control = controls[len(controls)-1]
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+l.fleet.address(control.number, controlPort)+"/v1/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, text
}
