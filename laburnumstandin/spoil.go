package laburnumstandin

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlever/laburnumsocket"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=Spoil -transform=kebab -trimprefix=Spoil -text -json -output=spoil_gen.go

// Spoil is a form in which a PlatformServer spoils an answer.
type Spoil int

// The forms. In those of streams, garbage comes before or in place of one event, and the rest follows unless stated otherwise.
const (
	// SpoilRawThenClose and SpoilRawThenChunks send bytes where a chunk is due.
	SpoilRawThenClose Spoil = iota
	SpoilRawThenChunks
	// SpoilChunk and SpoilChunkFirst send a chunk of random bytes that ends in an empty line.
	SpoilChunk
	SpoilChunkFirst
	// SpoilGlued and SpoilGluedFirst send one without an empty line, so that it runs into the next event.
	SpoilGlued
	SpoilGluedFirst
	SpoilNoID
	SpoilNoIDFirst
	SpoilTextID
	SpoilSkippedID
	SpoilSkippedFirst
	SpoilTwice
	// SpoilChunkThenEnd ends the stream after a chunk of random bytes, SpoilEndThenBytes before more bytes, SpoilEmpty before
	// the first event.
	SpoilChunkThenEnd
	SpoilEndThenBytes
	SpoilEmpty
	// SpoilBareFeeds ends the lines between the chunks by line feeds only.
	SpoilBareFeeds
	SpoilDoubleID
	SpoilLineInside
	// SpoilComment sends comments and a retry field, which the event-stream format allows.
	SpoilComment
	// Those of plain answers follow.
	SpoilCutBody
	SpoilSecondAnswer
	SpoilEncoding
	SpoilOtherID
	// SpoilUnframed sends half of a body that only the end of the connection delimits, which is a reset.
	SpoilUnframed
	SpoilNoStamp
)

// Streams reports whether the form is one of streams.
func (s Spoil) Streams() bool { return s < SpoilCutBody }

// Legal reports whether the answer is valid all the same.
func (s Spoil) Legal() bool { return s == SpoilComment }

// first reports whether the form concerns the first event.
func (s Spoil) first() bool {
	switch s {
	case SpoilChunkFirst, SpoilGluedFirst, SpoilNoIDFirst, SpoilSkippedFirst, SpoilEmpty:
		return true
	default:
		return false
	}
}

const (
	stampHeader = "X-Laburnumlever-Server-Stamp"
	idHeader    = "X-Laburnumlever-Request-Id"
	// garbageLines is the number of lines of garbage, each of at most garbageLine bytes.
	garbageLines, garbageLine = 3, 60
	// spoilLinger is how long a connection with more bytes than its answer has stays open.
	spoilLinger = 500 * time.Millisecond
)

// Spoiling has a PlatformServer spoil answers. The zero value spoils none.
type Spoiling struct {
	Seed uint64
	// Share is the share of the answers that are spoiled, 0 to 1.
	Share float64
	// Kinds are the forms, each of which is as likely.
	Kinds []Spoil
}

// spoiled is an answer that is spoiled at an event. The zero value is not.
type spoiled struct {
	kind   Spoil
	random *rand.Rand
	at     int
}

// SetSpoiling has the server spoil answers from now on.
func (s *PlatformServer) SetSpoiling(spoiling Spoiling) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoiling = spoiling
}

// draw decides how an answer that begins with an event is spoiled. It depends on the seed and the request only.
func (s *PlatformServer) draw(r *http.Request, streams bool, first int) spoiled {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kinds []Spoil
	for _, kind := range s.spoiling.Kinds {
		if kind.Streams() == streams {
			kinds = append(kinds, kind)
		}
	}
	random := rand.New(rand.NewPCG(s.spoiling.Seed, xxhash.Sum64String(r.Header.Get(idHeader)))) //nolint:gosec // repeatable
	if random.Float64() >= s.spoiling.Share || len(kinds) == 0 {
		return spoiled{}
	}
	p := spoiled{kind: kinds[random.IntN(len(kinds))], random: random, at: first}
	if !p.kind.first() && first < platformEvents {
		p.at += 1 + random.IntN(platformEvents-first)
	}
	return p
}

// told reports that an answer is spoiled.
func (s *PlatformServer) told(r *http.Request, kind Spoil) {
	if s.behaviour.OnSpoil != nil {
		s.behaviour.OnSpoil(r.Header.Get(idHeader), kind)
	}
}

// garbage returns lines of random bytes. None is a comment.
func (p spoiled) garbage() string {
	var text bytes.Buffer
	for range garbageLines {
		text.WriteByte('\x80' | byte(p.random.IntN(1<<7)))
		for range p.random.IntN(garbageLine) {
			text.WriteByte(byte(p.random.IntN(1 << 8)))
		}
		text.WriteByte('\n')
	}
	return text.String()
}

// eventOf returns an event with an id.
func eventOf(id string, i int, data string) string { return fmt.Sprintf("id: %s%d\n%s", id, i, data) }

// before returns what is sent before event i, or in place of it.
func (p spoiled) before(i int, data func(i int) string) string {
	switch p.kind {
	case SpoilGlued, SpoilGluedFirst:
		return p.garbage()
	case SpoilNoID, SpoilNoIDFirst:
		return data(i)
	case SpoilTextID:
		return eventOf("x", i, data(i))
	case SpoilTwice:
		return eventOf("", i-1, data(i-1))
	case SpoilComment:
		return ": still here\n\nretry: 1000\n\n: note\n"
	default:
		return p.garbage() + "\n"
	}
}

// parts returns the parts that are sent in place of event i, and the event after them; 0 if the stream ends.
func (p spoiled) parts(i int, data func(i int) string) (parts []string, next int) {
	switch p.kind {
	case SpoilEmpty:
		return nil, 0
	case SpoilChunkThenEnd:
		return []string{p.before(i, data)}, 0
	case SpoilChunkFirst, SpoilGluedFirst, SpoilNoIDFirst:
		return []string{p.before(i, data)}, i + 1
	case SpoilSkippedID, SpoilSkippedFirst:
		return []string{eventOf("", i+1, data(i+1))}, i + 2
	case SpoilDoubleID:
		return []string{eventOf("", i, eventOf("", i+1, data(i)))}, i + 1
	case SpoilLineInside:
		return []string{eventOf("", i, p.garbage()+data(i))}, i + 1
	default:
		return []string{p.before(i, data), eventOf("", i, data(i))}, i + 1
	}
}

// send begins to spoil a stream at event i, and returns what is left to be sent as parts does.
func (p spoiled) send(w http.ResponseWriter, i int, data func(i int) string) (parts []string, next int) {
	if p.raw(w, i, data) {
		return nil, 0
	}
	_ = http.NewResponseController(w).Flush() // else an empty stream would have a length
	return p.parts(i, data)
}

// raw takes the connection of a stream and writes what is no well-framed chunk. It reports false if the form is none of these.
func (p spoiled) raw(w http.ResponseWriter, i int, data func(i int) string) bool {
	switch p.kind {
	case SpoilRawThenClose, SpoilRawThenChunks, SpoilEndThenBytes, SpoilBareFeeds:
	default:
		return false
	}
	conn := taken(w)
	defer func() { _ = conn.Close() }()
	var rest bytes.Buffer
	chunks := httputil.NewChunkedWriter(&rest)
	for ; i <= platformEvents; i++ {
		_, _ = io.WriteString(chunks, eventOf("", i, data(i))) // a buffer takes everything
	}
	_ = chunks.Close() // as above
	rest.WriteString("\r\n")
	switch p.kind {
	case SpoilRawThenClose:
		_, _ = io.WriteString(conn, p.garbage()) // the connection ends either way, here and below
	case SpoilRawThenChunks:
		_, _ = io.WriteString(conn, p.garbage()+rest.String())
	case SpoilBareFeeds:
		_, _ = conn.Write(bytes.ReplaceAll(rest.Bytes(), []byte("\r\n"), []byte("\n")))
	default:
		_, _ = io.WriteString(conn, "0\r\n\r\n"+p.garbage())
		linger(conn)
	}
	return true
}

// taken returns the connection of an answer, once what was written has been sent.
func taken(w http.ResponseWriter) net.Conn {
	control := http.NewResponseController(w)
	_ = control.Flush() // the connection ends either way
	conn, _, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return conn
}

// linger waits until the peer closes a connection, so that a reset does not take what was sent from it.
func linger(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(spoilLinger)) // the connection ends either way
	_, _ = io.Copy(io.Discard, conn)                      // as above
}

// answer sends a spoiled plain answer in place of a text.
func (p spoiled) answer(w http.ResponseWriter, text []byte) {
	half := text[:len(text)/2]
	switch p.kind {
	case SpoilCutBody:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(half)
		_ = http.NewResponseController(w).Flush() // the connection ends either way, here and below
		panic(http.ErrAbortHandler)
	case SpoilSecondAnswer:
		head := w.Header().Clone()
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text)
		conn := taken(w)
		defer func() { _ = conn.Close() }()
		second := p.garbage()
		head.Set("Content-Length", strconv.Itoa(len(second)))
		_, _ = conn.Write(append(headOf(head), second...))
		linger(conn)
	case SpoilUnframed:
		head := headOf(w.Header())
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = conn.Write(append(head, half...))
		laburnumsocket.ResetOnClose(conn)
		_ = conn.Close()
	case SpoilEncoding:
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, p.garbage())
	case SpoilOtherID:
		w.Header().Set(idHeader, "another")
		_, _ = io.WriteString(w, p.garbage())
	default: // SpoilNoStamp
		w.Header().Del(stampHeader)
		_, _ = io.WriteString(w, p.garbage())
	}
}

// headOf returns the head of an answer.
func headOf(header http.Header) []byte {
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&head) // a buffer takes everything
	head.WriteString("\r\n")
	return head.Bytes()
}
