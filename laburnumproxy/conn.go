package laburnumproxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout      = time.Second
	idleConnTimeout  = 30 * time.Second
	idleConnsPerHost = 256
)

// countedConn counts the writes that may have reached the backend server and can
// be sealed, after which it writes nothing more.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
	// checked is closed once the answer to the attempt that has the connection, or
	// had it last, was matched with it.
	checked chan struct{}
}

// acquire gives the connection to another attempt, once the last one's answer has
// been matched. An answer without a body puts the connection back into the pool
// before anyone has looked at whose answer it was: a crossed one's connection would
// already carry the next request when it is closed. The wait is short, as the last
// attempt has its answer in hand.
func (c *countedConn) acquire() (checked chan struct{}) {
	c.mu.Lock()
	last := c.checked
	c.checked = make(chan struct{})
	checked = c.checked
	c.mu.Unlock()
	if last != nil {
		<-last
	}
	return checked
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &sealedError{}
	}
	c.writes++ // before the write, so that a judgement made during it says sent
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

func (c *countedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten forbids further writes unless there were some since base, and tells
// whether there were.
func (c *countedConn) sealIfUnwritten(base uint64) (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes > base {
		return true
	}
	c.sealed = true
	return false
}

func newTransport(reuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		DisableKeepAlives:   !reuse,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
}
