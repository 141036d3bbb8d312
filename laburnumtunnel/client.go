package laburnumtunnel

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumretry"
	"laburnumlever/laburnumupstream"

	"github.com/cockroachdb/errors"
)

const (
	// helperTimeout bounds the connection to a helper and its answer; it exceeds the helper's own time to connect to a
	// server by a round trip between availability zones.
	helperTimeout = 300 * time.Millisecond
	// maxHeadBytes bounds the head of a helper's answer.
	maxHeadBytes = 16 << 10
	// maxHelpers is the number of helpers that are asked for one tunnel.
	maxHelpers = 3
	// minHelperBackoff and maxHelperBackoff bound how long a helper that did not help is not asked again. The first time is short:
	// it may be the only one whose links work, and late once.
	minHelperBackoff, maxHelperBackoff = 100 * time.Millisecond, time.Second
	// opinions is the number of helpers that must not reach a server before it counts as unreachable: one may have lost
	// its own links without knowing yet.
	opinions = 2
	// directoryAge is the age at which the known helpers are asked for again.
	directoryAge = 3 * time.Second
	// directoryPause is the time between two failed calls to the directory.
	directoryPause = 250 * time.Millisecond
)

// Helpers are addresses of VMs that can help: those to be asked, and some elsewhere, whose links fail for other reasons.
type Helpers struct{ Near, Elsewhere []string }

// Directory names VMs that can help.
type Directory interface {
	// Helpers returns some helpers. An error means that nobody could be asked.
	Helpers(ctx context.Context) (Helpers, error)
}

// Client opens tunnels. It is safe for concurrent use.
type Client struct {
	directory Directory
	timers    laburnumlever.Timers
	dialer    *laburnumupstream.Dialer
	// asking is held while the directory is asked; a channel, so that waiting ends with the context.
	asking chan struct{}

	mu      sync.Mutex
	helpers Helpers
	next    int
	// askedAt is when the directory was last asked, askErr its failure.
	askedAt  time.Time
	askErr   error
	backoffs *laburnumretry.Backoffs
}

// ClientOption changes a new client.
type ClientOption func(*Client)

// WithSourceIP sets the source address of connections to helpers.
func WithSourceIP(ip net.IP) ClientOption {
	return func(c *Client) { c.dialer = laburnumupstream.NewDialer(ip) }
}

// NewClient returns a client that knows no helper yet.
func NewClient(directory Directory, timers laburnumlever.Timers, opts ...ClientOption) *Client {
	c := &Client{
		directory: directory, timers: timers, asking: make(chan struct{}, 1), backoffs: laburnumretry.NewBackoffs(minHelperBackoff, maxHelperBackoff),
		dialer: laburnumupstream.NewDialer(nil),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Dial connects to a server through a helper. Errors: *ServerUnreachableError, *NoHelperError.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	last := c.refresh(ctx)
	var unreached []*ServerUnreachableError
	for _, helper := range c.candidates() {
		began := c.timers.Now()
		conn, err := c.dialThrough(ctx, helper, address)
		if err == nil {
			conn.answered = func(heard bool) { c.helperHeard(helper, began, heard) }
			for _, u := range unreached {
				c.helperFailed(u.Helper, began)
			}
			return conn, nil
		}
		var unreachable *ServerUnreachableError
		if errors.As(err, &unreachable) {
			if unreached = append(unreached, unreachable); len(unreached) == opinions {
				break
			}
			continue
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		c.helperFailed(helper, began)
	}
	if len(unreached) > 0 {
		return nil, agreed(unreached)
	}
	return nil, &NoHelperError{Cause: last}
}

// agreed returns what all opinions agree on: the server refuses connections only if it refused all helpers.
func agreed(opinions []*ServerUnreachableError) *ServerUnreachableError {
	for _, o := range opinions {
		if !o.Refused {
			return o
		}
	}
	return opinions[0]
}

// refresh asks the directory for helpers if the known ones are old or do not help. It returns the last question's failure. A
// question that is given up says nothing of the directory, so that the next one is asked at once.
func (c *Client) refresh(ctx context.Context) error {
	if fresh, err := c.fresh(); fresh {
		return err
	}
	select {
	case c.asking <- struct{}{}:
		defer func() { <-c.asking }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if fresh, err := c.fresh(); fresh {
		return err
	}
	helpers, err := c.directory.Helpers(ctx)
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedAt, c.askErr = c.timers.Now(), err
	if err == nil {
		c.helpers = helpers
	}
	return err
}

// fresh reports whether the directory need not be asked, and the last question's failure.
func (c *Client) fresh() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := len(c.usable(c.helpers.Near))+len(c.usable(c.helpers.Elsewhere)) > 0
	age := c.timers.Now().Sub(c.askedAt)
	return age < directoryPause || usable && age < directoryAge, c.askErr
}

// candidates returns the helpers to ask, each time beginning with another one, the second of them elsewhere if there is one.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	near, elsewhere := c.rotated(c.helpers.Near), c.rotated(c.helpers.Elsewhere)
	first := near[:min(1, len(near))]
	all := slices.Concat(first, elsewhere[:min(1, len(elsewhere))], near[len(first):])
	return all[:min(maxHelpers, len(all))]
}

// rotated returns the helpers that may be asked now, beginning with the next one.
func (c *Client) rotated(helpers []string) []string {
	usable := c.usable(helpers)
	if len(usable) == 0 {
		return nil
	}
	first := c.next % len(usable)
	return slices.Concat(usable[first:], usable[:first])
}

// usable returns the helpers that may be asked now. The caller must hold mu.
func (c *Client) usable(helpers []string) []string {
	now := c.timers.Now()
	return slices.DeleteFunc(slices.Clone(helpers), func(h string) bool { return !c.backoffs.Allows(h, now) })
}

func (c *Client) helperFailed(helper string, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffs.Failed(helper, began, c.timers.Now())
}

// helperHeard records that the first bytes came through a helper, or that none came in time: one that has lost its own links
// without knowing yet opens tunnels that bring nothing.
func (c *Client) helperHeard(helper string, began time.Time, heard bool) {
	if !heard {
		c.helperFailed(helper, began)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffs.Succeeded(helper)
}

// dialThrough opens a tunnel through one helper.
func (c *Client) dialThrough(ctx context.Context, helper, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, helper)
	if err != nil {
		return nil, err
	}
	tunnel, err := connect(ctx, conn, helper, address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tunnel, nil
}

// connect sends the CONNECT and reads its answer.
func connect(ctx context.Context, conn net.Conn, helper, address string) (*Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Host: address}, Host: address, Header: http.Header{}}
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	head := &io.LimitedReader{R: conn, N: maxHeadBytes} // another service may have the address of a helper that is gone
	r := bufio.NewReaderSize(head, readBufferSize)
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, err
	}
	head.N = math.MaxInt64
	_ = resp.Body.Close() // a CONNECT's answer has none, or one that is not read
	switch resp.StatusCode {
	case http.StatusOK:
		return &Conn{Conn: conn, r: r}, conn.SetDeadline(time.Time{})
	case http.StatusBadGateway:
		return nil, &ServerUnreachableError{Address: address, Helper: helper, Refused: resp.Header.Get(refusedHeader) != ""}
	default:
		return nil, &HelperError{Helper: helper, Status: resp.StatusCode}
	}
}
