//go:build crowd

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The limits of the processes, and what the manifest lets callers send.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 1024
	// fileDescriptors are those that the platform keeps for files.
	fileDescriptors = 200
	bodyBytes       = 4 << 20
	headBytes       = 16 << 10
	frameBytes      = 16 << 20
	sendTime        = 60 * time.Second
)

// crowd is a number of connections that send something and stay open.
type crowd struct {
	connections int
	to          func(d *crowdDeployment) string
	send        func(w io.Writer, n int) error
	delay       time.Duration
}

func toGateway(d *crowdDeployment) string { return d.gateways[0].address(callersPort) }

func toControl(d *crowdDeployment) string { return d.control.address(controlPort) }

func toPeers(d *crowdDeployment) string { return d.control.address(peersPort) }

func toPort(port int) func(*crowdDeployment) string {
	return func(d *crowdDeployment) string { return d.gateways[0].address(port) }
}

func head(w io.Writer, n int, framing string) error {
	_, err := fmt.Fprintf(w, "POST /confirm/x HTTP/1.1\r\nHost: quotes.example\r\nX-Laburnumlever-Request-Id: crowd-%d\r\nX-Laburnumlever-Deadline-Ms: 8000\r\n%s\r\n\r\n", n, framing)
	return err
}

func length(bytes int) string { return "Content-Length: " + strconv.Itoa(bytes) }

const chunked = "Transfer-Encoding: chunked"

// repeat writes a text until it has written a number of bytes.
func repeat(w io.Writer, text string, total int) error {
	for sent := 0; sent < total; sent += len(text) {
		if _, err := io.WriteString(w, text[:min(len(text), total-sent)]); err != nil {
			return err
		}
	}
	return nil
}

// body returns what sends a body with a length, without its last missing bytes, in pieces.
func body(missing, piece int) func(io.Writer, int) error {
	return func(w io.Writer, n int) error {
		if err := head(w, n, length(bodyBytes)); err != nil {
			return err
		}
		return repeat(w, strings.Repeat("x", piece), bodyBytes-missing)
	}
}

// chunks returns what sends a body in chunks of a size, without a last chunk.
func chunks(size, count int) func(io.Writer, int) error {
	return func(w io.Writer, n int) error {
		if err := head(w, n, chunked); err != nil {
			return err
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		group := max(1, 64<<10/len(chunk)) // so that small chunks need few writes
		return repeat(w, strings.Repeat(chunk, group), len(chunk)*count)
	}
}

// endlessHead returns what sends a head of a number of bytes that does not end.
func endlessHead(total int) func(io.Writer, int) error {
	return func(w io.Writer, _ int) error {
		if _, err := io.WriteString(w, "GET /v1/ready HTTP/1.1\r\nHost: quotes.example\r\n"); err != nil {
			return err
		}
		return repeat(w, "X-Filler: "+strings.Repeat("x", 4<<10)+"\r\n", total)
	}
}

// cutCall returns what sends a call to a control VM whose body lacks its last byte.
func cutCall(target string, size int) func(io.Writer, int) error {
	return func(w io.Writer, n int) error {
		if _, err := fmt.Fprintf(w, "PUT "+target+" HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n{\"version\":2,\"text\":\"", n, length(size)); err != nil {
			return err
		}
		return repeat(w, strings.Repeat("x", 64<<10), size-100)
	}
}

// cutFrame sends a message of another VM, of the largest size, without its last byte.
func cutFrame(w io.Writer, _ int) error {
	if _, err := w.Write(binary.AppendUvarint(nil, frameBytes)); err != nil {
		return err
	}
	return repeat(w, strings.Repeat("x", 64<<10), frameBytes-1)
}

func nothing(io.Writer, int) error { return nil }

// Guards against unruly clients that have a process take more memory or descriptors than its VM has, or that keep ordinary callers out.
func TestCrowd(t *testing.T) {
	for name, c := range map[string]crowd{
		"bodies without their last byte":  {connections: 60, to: toGateway, send: body(1, 1<<20)},
		"bodies in pieces":                {connections: 60, to: toGateway, send: body(1, 16<<10)},
		"bodies that come together":       {connections: 60, to: toGateway, send: body(0, 1<<20), delay: 1500 * time.Millisecond},
		"large chunks without a last one": {connections: 60, to: toGateway, send: chunks(64<<10, bodyBytes/(64<<10))},
		"small chunks without a last one": {connections: 100, to: toGateway, send: chunks(1, 1_000_000)},
		"chunks without an end":           {connections: 60, to: toGateway, send: chunks(64<<10, 256)},
		"heads without an end":            {connections: 1500, to: toGateway, send: endlessHead(60 << 10)},
		"heads that stop":                 {connections: 1200, to: toGateway, send: endlessHead(100)},
		"bodies that stop":                {connections: 1200, to: toGateway, send: func(w io.Writer, n int) error { return head(w, n, length(100)) }},
		"silent connections":              {connections: 1500, to: toGateway, send: nothing},
		"manifests without their end":     {connections: 40, to: toControl, send: cutCall("/v1/config?n=%d", bodyBytes)},
		"announcements without their end": {connections: 200, to: toControl, send: cutCall("/v1/instances/i-%d", 1<<20)},
		"heads at a control VM":           {connections: 200, to: toControl, send: endlessHead(900 << 10)},
		"silent at a control VM":          {connections: 1500, to: toControl, send: nothing},
		"heads at the readiness check":    {connections: 200, to: toPort(readyPort), send: endlessHead(900 << 10)},
		"silent at the readiness check":   {connections: 1500, to: toPort(readyPort), send: nothing},
		"heads at the peer port":          {connections: 200, to: toPort(peersPort), send: endlessHead(900 << 10)},
		"silent at the peer port":         {connections: 1500, to: toPort(peersPort), send: nothing},
		"heads at the metrics":            {connections: 200, to: toPort(metricsPort), send: endlessHead(900 << 10)},
		"silent at the metrics":           {connections: 1500, to: toPort(metricsPort), send: nothing},
		"silent at peers of a control VM": {connections: 1500, to: toPeers, send: nothing},
		"messages without their end":      {connections: 40, to: toPeers, send: cutFrame},
	} {
		t.Run(name, func(t *testing.T) {
			d := startCrowdDeployment(t, c.delay)
			d.awaitOrdinary(t, "before")
			end := d.send(t, c)
			awaitAccepted(t, c.to(d))
			d.awaitOrdinary(t, "beside")
			d.awaitChange(t)
			d.requireBounds(t)
			end()
			d.awaitOrdinary(t, "after")
			d.requireBounds(t)
		})
	}
}

// Guards against limits for unruly clients that refuse a large body within the limits.
func TestCrowdOfOneIsServed(t *testing.T) {
	d := startCrowdDeployment(t, 0)
	pause := time.NewTicker(100 * time.Millisecond)
	defer pause.Stop()
	var sent sync.WaitGroup
	for _, framing := range []string{length(bodyBytes), chunked} {
		sent.Go(func() {
			conn, err := net.Dial("tcp", toGateway(d))
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, head(conn, 0, framing))
			for left := bodyBytes; left > 0; left -= bodyBytes / 16 {
				<-pause.C
				piece := bytes.Repeat([]byte("x"), bodyBytes/16)
				if framing == chunked {
					piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
				}
				_, err := conn.Write(piece)
				require.NoError(t, err)
			}
			if framing == chunked {
				_, err = io.WriteString(conn, "0\r\n\r\n")
				require.NoError(t, err)
			}
			status, text := readAnswer(conn)
			require.Equal(t, 200, status)
			require.Greater(t, text, bodyBytes, "the server answers with the body")
		})
	}
	sent.Wait()
	d.requireBounds(t)
}
