package laburnumupstream

import (
	"context"
	"net"
	"runtime"
	"sync"
	"time"
)

const (
	// dialSteps and dialStep bound a dial to tens of round trips within a region. A backend server that does not accept
	// within it is unreachable or overloaded, or a SYN was lost, which the kernel retransmits only after a second.
	dialSteps = 4
	dialStep  = 50 * time.Millisecond
	// keepAliveProbes is the number of unanswered keep-alive probes, a second apart, that end a connection. There is no
	// TCP_USER_TIMEOUT, which would end them whatever their number.
	keepAliveProbes = 2
)

// Dialer opens TCP connections. It is safe for concurrent use.
//
// A dial ends after 200 ms, counted in steps of 50 ms each of which begins when this process has noticed the end of the one
// before. A process that stood still finds the end of one step together with the connection that the kernel has opened meanwhile.
type Dialer struct{ dialer net.Dialer }

// NewDialer returns a dialer whose connections come from an address; from any if it is nil. Keep-alive probes detect a dead peer
// within about three seconds.
func NewDialer(from net.IP) *Dialer {
	d := &Dialer{dialer: net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: keepAliveProbes}}}
	if from != nil && !from.IsUnspecified() {
		d.dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return d
}

// KeepAlive returns the keep-alive settings of the connections.
func (d *Dialer) KeepAlive() net.KeepAliveConfig { return d.dialer.KeepAliveConfig }

// DialContext opens a connection to a TCP address. The error wraps a *DialTimeoutError if the address did not accept in time, ctx's
// cause if ctx is done, else it is that of net.Dialer. While ctx is not done, no error comes from its end.
func (d *Dialer) DialContext(ctx context.Context, address string) (net.Conn, error) {
	// A connection has its own timer for a context's deadline, which may fire before the context's does.
	dialCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })()
	timeout := &DialTimeoutError{Address: address, After: dialSteps * dialStep}
	stop := countDown(dialSteps, dialStep, func() { cancel(timeout) })
	defer stop()
	conn, err := d.dialer.DialContext(dialCtx, "tcp", address)
	if cause := context.Cause(dialCtx); err != nil && cause != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: cause}
	}
	return conn, err
}

// countDown calls expired after a number of steps, each of which begins once the one before has run, unless stop is called before.
func countDown(steps int, step time.Duration, expired func()) (stop func()) {
	c := &countdown{left: steps, step: step, expired: expired}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(step, c.tick)
	return c.stop
}

type countdown struct {
	step    time.Duration
	expired func()

	mu    sync.Mutex
	left  int
	timer *time.Timer
}

func (c *countdown) tick() {
	runtime.Gosched() // behind the goroutines that can run already
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left--
	switch {
	case c.left > 0:
		c.timer.Reset(c.step)
	case c.left == 0:
		c.expired()
	}
}

func (c *countdown) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = 0
	c.timer.Stop()
}
