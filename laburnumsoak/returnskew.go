package laburnumsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// skewedGateways is the number of gateways that get most new connections, one after the other.
	skewedGateways = 3
	// skewedTime is how long each gets them, skewedGrace the time after which its share is counted, skewedPause that between two.
	skewedTime, skewedGrace, skewedPause = 10 * time.Second, 2 * time.Second, 4 * time.Second
	// skewedShare is the share of the new connections that go to one gateway, skewedServed the part of the share before that has to
	// be served.
	skewedShare, skewedServed = 0.9, 0.75
	// maxUnreadTries is the number of gateways that a caller tries whose connections are closed unread.
	maxUnreadTries = 3
)

// skew has callers open a new connection for each request, most of them to one gateway.
type skew struct {
	client *http.Client
	on     atomic.Bool
	// gateway is the one that gets most of them; -1 for none.
	gateway atomic.Int64
	unread  atomic.Int64
}

func newSkew(dialer *net.Dialer) skew {
	return skew{client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// pickGateway returns the gateway of the next request.
func (l *returnLoad) pickGateway() int {
	if hot := l.skew.gateway.Load(); l.skew.on.Load() && hot >= 0 && rand.Float64() < skewedShare {
		return int(hot)
	}
	return rand.IntN(len(l.fleet.gateways))
}

// isUnread reports whether a request was not served since its connection was closed before it was read.
func isUnread(reason string) bool {
	return reason == "connection refused" || reason == "reset" || reason == "EOF"
}

// playSkewed sends most new connections to one gateway after the other, and observes the first tries that were read. With kills each
// is killed while it gets them, and the next one gets them at once.
func (f *returnFleet) playSkewed(ctx context.Context, l *returnLoad, kills bool, report *ReturnReport) error {
	l.skew.gateway.Store(-1)
	l.skew.on.Store(true)
	defer l.skew.on.Store(false)
	wait(ctx, skewedPause)
	report.Before = l.share(time.Now().Add(-skewedPause+time.Second), time.Now().Add(-time.Second))
	report.Late = 1
	for gateway := range min(skewedGateways, len(f.gateways)) {
		from := time.Now()
		l.skew.unread.Store(0)
		l.skew.gateway.Store(int64(gateway))
		wait(ctx, skewedTime)
		if kills {
			f.signalAll(f.gateways[gateway:gateway+1], syscall.SIGKILL)
			if err := f.startAgain(f.gateways[gateway]); err != nil {
				return err
			}
		} else {
			l.skew.gateway.Store(-1)
			wait(ctx, skewedPause)
		}
		share := l.share(from.Add(skewedGrace), from.Add(skewedTime))
		for second := range int(skewedTime / time.Second) {
			at := from.Add(time.Duration(second) * time.Second)
			report.Seconds = append(report.Seconds, l.share(at, at.Add(time.Second)))
			report.Refusals = append(report.Refusals, l.refusals(at, at.Add(time.Second)))
		}
		f.cfg.print("most new connections to %s: served %.3f, %d closed unread", f.gateways[gateway].name, share, l.skew.unread.Load())
		report.Late = min(report.Late, share)
	}
	if report.Late < skewedServed*report.Before {
		report.Violations = append(report.Violations, fmt.Sprintf("%.3f of the first tries were served while most new connections went to one gateway, %.3f before", report.Late, report.Before))
	}
	l.skew.gateway.Store(-1)
	return nil
}

// skewToFirst sends most new connections to the first gateway that is ready, until the returned function is called.
func (f *returnFleet) skewToFirst(ctx context.Context, l *returnLoad) (end func()) {
	l.skew.gateway.Store(-1)
	l.skew.on.Store(true)
	ctx, cancel := context.WithCancel(ctx)
	for gateway := range f.gateways {
		go func() {
			if await(ctx, returnReadyLimit, func() bool { return f.isReady(ctx, gateway) }) && l.skew.gateway.CompareAndSwap(-1, int64(gateway)) {
				f.cfg.print("most new connections go to %s, which is ready first", f.gateways[gateway].name)
			}
		}()
	}
	return func() {
		cancel()
		l.skew.on.Store(false)
	}
}

// isReady reports whether the balancer would send callers to a gateway.
func (f *returnFleet) isReady(ctx context.Context, gateway int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address(firstGateway+gateway, readyPort)+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
