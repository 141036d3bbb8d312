package laburnumstandin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=LinkMode -transform=kebab -trimprefix=Link -text -json -output=linkmode_gen.go

// LinkMode is how a link treats the connections through it.
type LinkMode int

// The modes of a link.
const (
	// LinkOpen passes everything.
	LinkOpen LinkMode = iota
	// LinkFrozen holds back all bytes in both directions, and accepts connections
	// without dialing the target, like a network that drops packets silently. The
	// bytes are delivered when the link opens, as TCP retransmits lost packets.
	LinkFrozen
	// LinkFrozenTo holds back only the bytes to the target.
	LinkFrozenTo
	// LinkFrozenFrom holds back only the bytes from the target.
	LinkFrozenFrom
	// LinkCut resets all connections and refuses new ones, like a host that is down.
	LinkCut
	// LinkRefusing refuses new connections and leaves the open ones as they are.
	LinkRefusing
)

// LinkState is the configuration of a link.
type LinkState struct {
	Mode LinkMode `json:"mode"`
	// Delay is added to every byte in each direction.
	Delay laburnumlever.Duration `json:"delay"`
	// From lists the source IP addresses that the mode applies to; empty means all.
	// To cut two availability zones apart, set each zone's links to cut connections
	// from the other's VMs.
	From []string `json:"from,omitempty"`
}

// modeFor is the mode for connections from an IP address.
func (s LinkState) modeFor(source string) LinkMode {
	if len(s.From) > 0 && !slices.Contains(s.From, source) {
		return LinkOpen
	}
	return s.Mode
}

// blocks reports whether bytes in the direction are held back for connections from
// the source.
func (s LinkState) blocks(source string, toTarget bool) bool {
	switch s.modeFor(source) {
	case LinkFrozen:
		return true
	case LinkFrozenTo:
		return toTarget
	case LinkFrozenFrom:
		return !toTarget
	default:
		return false
	}
}

// Link is a TCP proxy between two processes that can cut, freeze or delay the
// connections through it. It is safe for use by many goroutines.
type Link struct {
	target    string
	cfg       config
	ownTimers *laburnumtimer.Timers
	ctx       context.Context
	cancel    context.CancelFunc

	mu          sync.Mutex
	state       LinkState
	changed     chan struct{}
	conns       map[net.Conn]string // source IP address of the inbound connection
	passedBytes int
}

// NewLink makes an open link to the target, an IP address and port.
func NewLink(target string, opts ...Option) *Link {
	l := &Link{target: target, cfg: newConfig(opts), changed: make(chan struct{}), conns: make(map[net.Conn]string)}
	if l.cfg.timers == nil {
		l.ownTimers = laburnumtimer.New()
		l.cfg.timers = l.ownTimers
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// State returns the link's configuration.
func (l *Link) State() LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Set changes the link's configuration; it applies to open connections too.
func (l *Link) Set(state LinkState) {
	l.mu.Lock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	var cut []net.Conn
	for conn, source := range l.conns {
		if state.modeFor(source) == LinkCut {
			cut = append(cut, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range cut {
		reset(conn)
	}
}

// PassedBytes counts the bytes forwarded in both directions.
func (l *Link) PassedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passedBytes
}

// Serve accepts connections until Accept fails, and returns that error.
func (l *Link) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go l.forward(conn)
	}
}

// Close resets all connections. Close the listener first.
func (l *Link) Close() {
	l.Set(LinkState{Mode: LinkCut})
	l.cancel()
	if l.ownTimers != nil {
		l.ownTimers.Close()
	}
}

func (l *Link) forward(inbound net.Conn) {
	source := sourceOf(inbound)
	if !l.track(inbound, source) {
		reset(inbound)
		return
	}
	defer l.closeConn(inbound)
	// A frozen link accepts the connection, as the target's kernel may have done
	// before the freeze, but does not dial the target.
	if l.awaitOpen(source, true) != nil {
		return
	}
	// The target sees the source's IP address, as without the link.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	outbound, err := dialer.DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		return
	}
	if !l.track(outbound, source) {
		reset(outbound)
		return
	}
	defer l.closeConn(outbound)
	var pumps sync.WaitGroup
	pumps.Add(1)
	go func() {
		defer pumps.Done()
		l.pump(outbound, inbound, source, true)
	}()
	l.pump(inbound, outbound, source, false)
	pumps.Wait()
}

// track records an open connection; it returns false if the link refuses new ones.
func (l *Link) track(conn net.Conn, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.state.modeFor(source) {
	case LinkCut, LinkRefusing:
		return false
	default:
		l.conns[conn] = source
		return true
	}
}

func (l *Link) closeConn(conn net.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	_ = conn.Close()
}

// sourceOf is the IP address that a connection comes from.
func sourceOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// awaitOpen waits until bytes may pass in the direction. Errors: *LinkCutError, or
// context.Canceled once the link is closed.
func (l *Link) awaitOpen(source string, toTarget bool) error {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		l.mu.Unlock()
		switch {
		case state.modeFor(source) == LinkCut:
			return &LinkCutError{Target: l.target}
		case !state.blocks(source, toTarget):
			return nil
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
	}
}

func (l *Link) addPassedBytes(n int) {
	l.mu.Lock()
	l.passedBytes += n
	l.mu.Unlock()
}

// sleepUntil waits on the link's timers until the due time or until the link is closed.
func (l *Link) sleepUntil(due time.Time) {
	wait := due.Sub(l.cfg.timers.Now())
	if wait <= 0 {
		return
	}
	laburnumtimer.Wait(l.ctx.Done(), l.cfg.timers, wait)
}
