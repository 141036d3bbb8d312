package laburnumfleet

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// Peer addresses must be known before any VM runs, so their ports are reserved, freed
// and then listened on again. An outgoing connection could take an ephemeral port in
// between, and the VM would fail to start with "address already in use". The range
// therefore lies below the ephemeral ports of Linux (from 32768) and macOS (from
// 49152), so that only another fleet that picks the same port can collide.
const (
	minPort = 20000
	maxPort = 32000
	// portTries is the maximum number of random ports tried for one address.
	portTries = 100
)

// bindTime is how long a port that this process has picked may not be bound yet, and is not picked again.
const bindTime = time.Minute

// pickedPorts are the ports that this process has picked, and when.
var pickedPorts struct {
	mu sync.Mutex
	at map[int]time.Time
}

// pickPort reports whether a port may be picked, and records that it is.
func pickPort(port int) bool {
	pickedPorts.mu.Lock()
	defer pickedPorts.mu.Unlock()
	if time.Since(pickedPorts.at[port]) < bindTime {
		return false
	}
	if pickedPorts.at == nil {
		pickedPorts.at = map[int]time.Time{}
	}
	pickedPorts.at[port] = time.Now()
	return true
}

// ReservePorts picks count different free addresses on loopback at random. Errors:
// *StartError.
func ReservePorts(ctx context.Context, count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		ln, err := listenRandomPort(ctx)
		if err != nil {
			return nil, err
		}
		// All listeners stay open until the last port is found, so that no two are the same.
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
		if !pickPort(port) {
			continue
		}
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
