package laburnumstandin

import (
	"net"
	"net/http"
	"time"
)

const (
	pumpChunk = 16 << 10
	// pumpQueue bounds what a delayed direction holds, so that a sender is slowed
	// and memory is not.
	pumpQueue = 256
)

// packet is a chunk of bytes and when it may go on.
type packet struct {
	bytes []byte
	due   time.Time
}

// pump copies one direction until either end closes. Reading and writing are
// apart, so that a delay adds to each byte's time and not to the rate.
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
		l.addPassed(len(p.bytes))
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

// LinkReport is what GET /link answers.
type LinkReport struct {
	LinkState
	Target string `json:"target"`
	Passed int    `json:"passed-bytes"`
}

// ServeHTTP is the link's control: GET /link shows it, PUT /link with a LinkState
// changes it.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		state := l.State()
		if !readJSON(w, r, &state) {
			return
		}
		l.Set(state)
	}
	writeJSON(w, http.StatusOK, LinkReport{LinkState: l.State(), Target: l.target, Passed: l.Passed()})
}
