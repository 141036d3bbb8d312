//go:build crowd

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const (
	callersPort, readyPort, controlPort, peersPort, metricsPort, serverPort = 8081, 8082, 8080, 7380, 9464, 8090

	startTime = 60 * time.Second
)

// crowdDeployment is a control VM, two gateways and two backend servers, each a process of its own.
type crowdDeployment struct {
	folder, network string
	control         *crowdProcess
	gateways        []*crowdProcess
	version         int
}

type crowdProcess struct {
	ip    string
	cmd   *exec.Cmd
	ended chan struct{}
}

func (p *crowdProcess) address(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

func startCrowdDeployment(t *testing.T, delay time.Duration) *crowdDeployment {
	t.Helper()
	d := &crowdDeployment{folder: t.TempDir(), network: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)), version: 1}
	d.control = d.startVM(t, "control", 1)
	for i := range 2 {
		d.gateways = append(d.gateways, d.startVM(t, "gateway", 10+i))
	}
	for i := range 2 {
		address := fmt.Sprintf("%s.%d:%d", d.network, 20+i, serverPort)
		d.start(t, 20+i, "stand-in", "platform-server", "--id", fmt.Sprintf("i-%d", i), "--service", "booking", "--listen", address,
			"--control", d.control.address(controlPort), "--announce-period", "200ms", "--delay", delay.String())
	}
	d.awaitChange(t)
	for _, gateway := range d.gateways {
		require.Eventually(t, func() bool {
			resp, err := http.Get("http://" + gateway.address(readyPort) + "/v1/ready")
			return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
		}, startTime, 50*time.Millisecond)
	}
	return d
}

func (d *crowdDeployment) startVM(t *testing.T, role string, number int) *crowdProcess {
	t.Helper()
	ip := fmt.Sprintf("%s.%d", d.network, number)
	settings := map[string]any{
		"vm": ip, "name": fmt.Sprintf("%s-%d", role, number), "zone": "brest", "region": "bretagne", "peer-port": peersPort, "metrics-port": metricsPort,
		"seeds": []string{fmt.Sprintf("%s.1:%d", d.network, controlPort)}, "first-start": true, "memory-mb": crowdMemoryMB, "descriptors": crowdDescriptors,
		"times": map[string]any{"heartbeat": "1s", "grace": "4s", "lease": "3s", "catch-up": "4s", "apply": "2s"},
		"retry": map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"}, "store-window": "5s", "store-overshoot": 1.1, "checks-fencing": true,
		"log": map[string]any{"level": "info"},
	}
	if role == "control" {
		settings["listen"], settings["data-folder"] = map[string]any{"control": fmt.Sprintf("%s:%d", ip, controlPort)}, filepath.Join(d.folder, "data")
	} else {
		settings["listen"] = map[string]any{"callers": fmt.Sprintf("%s:%d", ip, callersPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort)}
	}
	text, err := json.Marshal(settings)
	require.NoError(t, err)
	path := filepath.Join(d.folder, fmt.Sprintf("%s-%d.jsonc", role, number))
	require.NoError(t, os.WriteFile(path, text, 0o600))
	p := d.start(t, number, role, "--settings", path)
	p.ip = ip
	return p
}

func (d *crowdDeployment) start(t *testing.T, number int, args ...string) *crowdProcess {
	t.Helper()
	program, err := exec.LookPath("laburnumlever")
	require.NoError(t, err)
	log, err := os.Create(filepath.Join(d.folder, fmt.Sprintf("%d.log", number)))
	require.NoError(t, err)
	p := &crowdProcess{cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		_ = log.Close()
		if text, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("the end of the log of %d:\n%s", number, text[max(0, len(text)-2000):])
		}
	})
	return p
}

// awaitChange sends a new manifest until it is acknowledged, as the operator does.
func (d *crowdDeployment) awaitChange(t *testing.T) {
	t.Helper()
	d.version++
	text := fmt.Sprintf(`{"version":%d,"routes":[{"name":"confirm","hostname":"quotes.example","path_prefix":"/confirm/","kind":"non_idempotent","timeout_ms":8000,`+
		`"target_latency_ms":300,"priority":1,"service":"booking","max_attempts":1}],"services":[{"name":"booking","health_path":"/health","max_conns":400}],`+
		`"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, d.version, headBytes, bodyBytes)
	d.await(t, d.control, "PUT", "/v1/config", controlPort, text)
}

// awaitOrdinary sends an ordinary request to each gateway until it is served.
func (d *crowdDeployment) awaitOrdinary(t *testing.T, what string) {
	t.Helper()
	for _, gateway := range d.gateways {
		d.await(t, gateway, "POST", "/confirm/x", callersPort, "a visit "+what)
	}
}

func (d *crowdDeployment) await(t *testing.T, p *crowdProcess, method, path string, port int, text string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	last := "no try"
	served := func() bool {
		req, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.address(port)+path, strings.NewReader(text))
		if err != nil {
			return false
		}
		req.Host = "quotes.example"
		req.Header.Set("X-Laburnumlever-Request-Id", fmt.Sprint("ordinary-", rand.Uint64()))
		req.Header.Set("X-Laburnumlever-Deadline-Ms", "8000")
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			return false
		}
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		last = fmt.Sprint(resp.Status, " ", string(answer), " ", err)
		return err == nil && resp.StatusCode == http.StatusOK
	}
	require.Eventually(t, served, startTime, 100*time.Millisecond, "%s %s at %s: %s", method, path, p.address(port), &last)
}

// send has a crowd send, and returns once each connection has sent all or was ended. The connections stay open until end is called.
func (d *crowdDeployment) send(t *testing.T, c crowd) (end func()) {
	t.Helper()
	var sent, read sync.WaitGroup
	conns := make(chan net.Conn, c.connections)
	for n := range c.connections {
		sent.Go(func() {
			conn, err := net.DialTimeout("tcp", c.to(d), sendTime)
			if err != nil {
				return // refused
			}
			conns <- conn
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			read.Go(func() { _, _ = io.Copy(io.Discard, conn) })
			_ = c.send(conn, n) // an error means that it was ended
		})
	}
	sent.Wait()
	close(conns)
	return func() {
		for conn := range conns {
			_ = conn.Close()
		}
		read.Wait()
	}
}

// awaitAccepted waits until a listener has dealt with a connection that came after all others, so that none waits to be accepted.
func awaitAccepted(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return // ended before the call returned
	}
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(sendTime)))
	_, _ = io.WriteString(conn, "GET /v1/ready HTTP/1.1\r\nHost: quotes.example\r\nX-Filler: "+strings.Repeat("x", 100)+"\r\n\r\n") // an error means that it was ended
	_, err = conn.Read(make([]byte, 1))
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%s neither answers a connection nor ends it", address)
}

// requireBounds requires that the processes live within their settings' limits.
func (d *crowdDeployment) requireBounds(t *testing.T) {
	t.Helper()
	for _, p := range append([]*crowdProcess{d.control}, d.gateways...) {
		select {
		case <-p.ended:
			t.Fatalf("the process at %s has ended", p.ip)
		default:
		}
		proc := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
		open, err := os.ReadDir(proc + "/fd")
		require.NoError(t, err)
		peak := peakMB(t, proc)
		t.Logf("%s: peak %d MB, %d descriptors", p.ip, peak, len(open))
		require.LessOrEqual(t, len(open), crowdDescriptors-fileDescriptors, "descriptors of %s", p.ip)
		require.LessOrEqual(t, peak, crowdMemoryMB, "peak memory in MB of %s", p.ip)
	}
}

func peakMB(t *testing.T, proc string) int {
	t.Helper()
	status, err := os.ReadFile(proc + "/status")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(t, found)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kb >> 10
}

// readAnswer returns the status and the length of an answer, 0 if none comes.
func readAnswer(conn net.Conn) (status, text int) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	n, _ := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, int(n)
}
