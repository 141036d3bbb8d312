package laburnumsocket

import (
	"context"
	"net"
)

type connKey struct{}

// NewContext returns a context that holds a connection. It is a hook of http.Server (ConnContext).
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection that a context holds; nil for none.
func FromContext(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}
