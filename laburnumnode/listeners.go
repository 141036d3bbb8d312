package laburnumnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

// headerTimeout bounds how long a connection may take to send its headers, so
// that half-open connections do not accumulate.
const headerTimeout = 10 * time.Second

// listeners are the sockets of one process, opened together so that an address in
// use is reported before any component starts.
type listeners struct {
	callers, operators, backends, peers net.Listener
}

func openListeners(ctx context.Context, listen laburnumsettings.Listen) (*listeners, error) {
	l := &listeners{}
	for _, spec := range []struct {
		name, address string
		into          *net.Listener
	}{
		{"callers", listen.Callers, &l.callers},
		{"operators", listen.Operators, &l.operators},
		{"backends", listen.Backends, &l.backends},
		{"peers", listen.Peers, &l.peers},
	} {
		var cfg net.ListenConfig
		ln, err := cfg.Listen(ctx, "tcp", spec.address)
		if err != nil {
			l.close()
			return nil, &laburnumlever.ListenError{Name: spec.name, Address: spec.address, Cause: err}
		}
		*spec.into = ln
	}
	return l, nil
}

// addresses returns the bound addresses; they differ from the settings for port 0.
func (l *listeners) addresses() laburnumsettings.Listen {
	return laburnumsettings.Listen{
		Callers:   l.callers.Addr().String(),
		Operators: l.operators.Addr().String(),
		Backends:  l.backends.Addr().String(),
		Peers:     l.peers.Addr().String(),
	}
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.operators, l.backends, l.peers} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
}

// listenerIP returns the IP address that a listener is bound to; nil if it is not TCP.
func listenerIP(ln net.Listener) net.IP {
	addr, ok := ln.Addr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	return addr.IP
}
