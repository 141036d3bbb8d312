package laburnumsocket

import (
	"context"
	"net"
)

// ResetOnClose has a connection closed with a reset: bytes that the other side has not received are dropped then. After an orderly
// close the kernel goes on delivering them, across a cut link for minutes.
func ResetOnClose(conn net.Conn) {
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails on a closed connection only
	}
}

// DialFunc is the type of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ResetOnCloseDialer returns a function that dials connections which are closed with a reset. Errors are those of dial.
func ResetOnCloseDialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ResetOnClose(conn)
		return conn, nil
	}
}
