package laburnumupstream_test

import (
	"bytes"
	"net"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumsocket"
	"laburnumlever/laburnumupstream"
)

const (
	// starvedDialsAddress is the environment variable with the address that the starved process dials.
	starvedDialsAddress = "LABURNUMLEVER_STARVED_DIALS_ADDRESS"
	// The process stands still for stoppedTime, then runs for runningTime, starvedCycles times.
	stoppedTime, runningTime = 250 * time.Millisecond, 50 * time.Millisecond
	starvedCycles            = 10
	starvedDialers           = 400
	// dialWork is the work that follows a dial.
	dialWork = time.Millisecond
)

// Guards against servers that accept at once and are taken for unreachable by a VM which stands still while it dials them.
func TestStarvedProcessFindsNoServerUnreachable(t *testing.T) {
	if address := os.Getenv(starvedDialsAddress); address != "" {
		dialStarved(t, address)
		return
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go acceptAll(ln)
	var out bytes.Buffer
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestStarvedProcessFindsNoServerUnreachable$", "-test.v")
	cmd.Env = append(os.Environ(), starvedDialsAddress+"="+ln.Addr().String())
	cmd.Stdout, cmd.Stderr = &out, &out
	require.NoError(t, cmd.Start())
	for range starvedCycles {
		time.Sleep(runningTime)
		require.NoError(t, cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(stoppedTime)
		require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	}
	require.NoError(t, cmd.Wait(), "%s", out.String())
}

// dialStarved dials an address again and again on one processor, and fails if a dial does.
func dialStarved(t *testing.T, address string) {
	runtime.GOMAXPROCS(1)
	dialer := laburnumupstream.NewDialer(nil)
	var dialed atomic.Int64
	errs := make(chan error, starvedDialers)
	end := time.Now().Add(starvedCycles * (stoppedTime + runningTime))
	var dialers sync.WaitGroup
	for range starvedDialers {
		dialers.Go(func() {
			for time.Now().Before(end) {
				conn, err := dialer.DialContext(t.Context(), address)
				if err != nil {
					errs <- err
					return
				}
				dialed.Add(1)
				laburnumsocket.ResetOnClose(conn)
				_ = conn.Close()
				work()
			}
		})
	}
	dialers.Wait()
	close(errs)
	require.Positive(t, dialed.Load())
	require.Empty(t, errs, "%d dials failed after %d, the first: %v", len(errs), dialed.Load(), firstError(errs))
}

func firstError(errs chan error) error {
	if len(errs) == 0 {
		return nil
	}
	return <-errs
}

// acceptAll accepts connections and closes them once their peers do.
func acceptAll(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}()
	}
}

// work keeps the processor busy for what follows a dial.
func work() {
	var spins atomic.Int64
	for until := time.Now().Add(dialWork); time.Now().Before(until); {
		spins.Add(1)
	}
}
