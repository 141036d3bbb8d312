package laburnumfleet

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
)

// Peer addresses must be known before any VM runs, so their ports are chosen and
// freed again, and only then listened on. Between the two, a port that the system
// gives to any outgoing connection could be taken: the VM would then fail to start
// with "address already in use". The range lies below the one that Linux and macOS
// give to connections (from 32768 and 49152), so only another fleet's draw can clash.
const (
	minPort = 20000
	maxPort = 32000
	// portTries is how many draws may be taken before a port is given up.
	portTries = 100
)

// ReservePorts draws so many different free addresses on loopback. Errors:
// *StartError.
func ReservePorts(ctx context.Context, count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		ln, err := listenRandomPort(ctx)
		if err != nil {
			return nil, err
		}
		// All stay open until the last is found, so that no two are the same.
		defer func() { _ = ln.Close() }()
		addresses[i] = ln.Addr().String()
	}
	return addresses, nil
}

func listenRandomPort(ctx context.Context) (net.Listener, error) {
	var cfg net.ListenConfig
	var last error
	for range portTries {
		port := minPort + rand.IntN(maxPort-minPort)
		ln, err := cfg.Listen(ctx, "tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return ln, nil
		}
		last = err
	}
	return nil, &StartError{Part: "free port", Cause: last}
}

func listen(ctx context.Context) (net.Listener, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", anyLoopbackPort)
	if err != nil {
		return nil, &StartError{Part: "listener", Cause: err}
	}
	return ln, nil
}
