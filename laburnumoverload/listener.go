package laburnumoverload

import (
	"net"

	"laburnumlever/laburnumsocket"
)

// Listener closes some connections unread.
type Listener struct {
	net.Listener
	admit  func() bool
	onShed func()
}

// NewListener returns a listener that accepts the connections of another one which are admitted. onShed is called for each that it
// closes.
func NewListener(ln net.Listener, admit func() bool, onShed func()) *Listener {
	return &Listener{Listener: ln, admit: admit, onShed: onShed}
}

// Accept returns the next connection that isn't closed. Errors are those of the other listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.admit() {
			return conn, err
		}
		l.shed(conn)
	}
}

// shed resets a connection: its caller learns at once that nothing was read.
func (l *Listener) shed(conn net.Conn) {
	laburnumsocket.ResetOnClose(conn)
	l.onShed()
	_ = conn.Close()
}
