package laburnumsocket

import "net"

// KeepAliveSetter is a connection whose keep-alive probes can be configured, such as a *net.TCPConn.
type KeepAliveSetter interface {
	SetKeepAliveConfig(config net.KeepAliveConfig) error
}
