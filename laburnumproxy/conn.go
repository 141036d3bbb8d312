package laburnumproxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumlever/laburnumsocket"
)

const (
	dialTimeout      = time.Second
	idleConnTimeout  = 30 * time.Second
	idleConnsPerHost = 256
)

// countedConn counts the writes that may have reached the backend server. Once sealed, it
// refuses further writes.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
	// checked is closed once the response to the attempt that holds the connection, or held it
	// last, has been checked against the attempt's ID.
	checked chan struct{}
}

// acquire assigns the connection to another attempt once the previous attempt's response
// has been checked. net/http returns a connection to the pool as soon as a response without
// a body arrives. Without the wait, the connection of a mismatched response would already
// carry the next request when it is closed. The wait is short, as the previous attempt
// already has its response header.
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
	c.writes++ // before the write, so that a concurrent check counts it as sent
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

// sealIfUnwritten refuses further writes unless there were some since base. It reports
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
	dial := laburnumsocket.ResetOnCloseDialer((&net.Dialer{Timeout: dialTimeout}).DialContext)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		DisableKeepAlives:   !reuse,
		MaxIdleConnsPerHost: idleConnsPerHost, MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout: idleConnTimeout,
	}
}
