package laburnumstandin

import (
	"net"
	"net/http"
	"time"
)

const (
	pumpChunk = 16 << 10
	// pumpQueue bounds the chunks that a delayed direction buffers; beyond it, the
	// sender is slowed down instead of using more memory.
	pumpQueue = 256
)

// packet is a chunk of bytes and the time from which it may be forwarded.
type packet struct {
	bytes []byte
	due   time.Time
}

// pump copies one direction until either end closes. A separate goroutine reads, so
// that a delay adds latency without lowering the throughput.
func (l *Link) pump(to, from net.Conn, source string, toTarget bool) {
	packets := make(chan packet, pumpQueue)
	stopped := make(chan struct{})
	go l.readPackets(from, packets, stopped)
	defer close(stopped)
	for p := range packets {
		l.sleepUntil(p.due)
		if l.awaitOpen(source, toTarget) != nil {
			return
		}
		if _, err := to.Write(p.bytes); err != nil {
			_ = from.Close()
			return
		}
		l.addPassedBytes(len(p.bytes))
	}
	if tcp, ok := to.(*net.TCPConn); ok && l.awaitOpen(source, toTarget) == nil {
		_ = tcp.CloseWrite()
	}
}

func (l *Link) readPackets(from net.Conn, packets chan<- packet, stopped <-chan struct{}) {
	defer close(packets)
	for {
		buffer := make([]byte, pumpChunk)
		n, err := from.Read(buffer)
		if n > 0 {
			due := l.cfg.timers.Now().Add(time.Duration(l.State().Delay))
			select {
			case packets <- packet{bytes: buffer[:n], due: due}:
			case <-stopped:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// LinkReport is the response to GET /link.
type LinkReport struct {
	LinkState
	Target      string `json:"target"`
	PassedBytes int    `json:"passed-bytes"`
}

// ServeHTTP serves the link's control endpoint: GET /link returns a LinkReport, PUT
// /link with a LinkState changes the configuration.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		state := l.State()
		if !readJSON(w, r, &state) {
			return
		}
		l.Set(state)
	}
	writeJSON(w, http.StatusOK, LinkReport{LinkState: l.State(), Target: l.target, PassedBytes: l.PassedBytes()})
}
