package laburnumpeer

import (
	"context"
	"encoding/json"
	"net"
	"reflect"
	"strings"
	"unicode"

	"laburnumlever"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/jsonrpc2"
)

// errorData is the data field of a JSON-RPC error answer.
type errorData struct {
	Kind string `json:"kind"`
}

// serveConn handles the requests of one incoming connection until it is closed.
func (p *Peers) serveConn(netConn net.Conn) {
	started := p.spawn(func() {
		secured, err := p.cfg.handshake(p.ctx, netConn, "")
		if err != nil {
			p.cfg.scope.Counter("peer-failed-handshakes").Inc(1)
			return
		}
		s := newStream(secured, &p.cfg)
		s.intake = p.cfg.intake
		conn := p.newConn(s, server{peers: p})
		<-conn.DisconnectNotify()
	})
	if !started {
		_ = netConn.Close()
	}
}

func (p *Peers) newConn(s *stream, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	// sending is written by onSend and read by onWrite, both under jsonrpc2's sending lock.
	sending := answerMethod
	onSend := jsonrpc2.OnSend(func(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
		sending = answerMethod
		if req != nil {
			sending = req.Method
		}
	})
	s.onWrite = func(n int) { p.counters.method(sending).sent(n) }
	onRecv := jsonrpc2.OnRecv(func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
		p.countReceived(req, resp, s.lastFrameBytes)
	})
	return jsonrpc2.NewConn(p.ctx, s, handler, onSend, onRecv, jsonrpc2.SetLogger(discardLogger{}))
}

func (p *Peers) countReceived(req *jsonrpc2.Request, resp *jsonrpc2.Response, n int) {
	method := answerMethod
	if resp == nil && req != nil {
		method = req.Method
		if _, ok := p.handler(method); !ok {
			method = "unknown"
		}
	}
	p.counters.method(method).received(n)
}

// discardLogger discards jsonrpc2's log lines: links return the same failures as errors.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// server is the jsonrpc2 handler that dispatches requests to the handlers by method.
type server struct{ peers *Peers }

// Handle runs a request's handler in its own goroutine, so that a slow one does not delay other
// requests of the connection. Requests of unknown methods or without a free slot are refused.
func (s server) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	p := s.peers
	handler, ok := p.handler(req.Method)
	if !ok {
		replyError(ctx, conn, req, &UnknownMethodError{Method: req.Method})
		return
	}
	slots := p.slotsFor(req)
	select {
	case slots <- struct{}{}:
	default:
		p.cfg.scope.Counter("peer-overloaded").Inc(1)
		replyError(ctx, conn, req, &OverloadedError{Limit: p.cfg.maxHandlers})
		return
	}
	started := p.spawn(func() {
		defer func() { <-slots }()
		p.runHandler(ctx, conn, req, handler)
	})
	if !started {
		<-slots
	}
}

// slotsFor returns separate slots for calls and notifications. Long polls of hundreds of VMs can
// occupy all slots for calls. When notifications shared them, the replicated log's messages, which
// are notifications and quick to handle, were dropped, and the leader repeatedly lost its voters.
func (p *Peers) slotsFor(req *jsonrpc2.Request) chan struct{} {
	if req.Notif {
		return p.notificationSlots
	}
	return p.callSlots
}

func (p *Peers) runHandler(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, handler laburnumlever.PeerHandler) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.callTimeout)
	defer cancel()
	var params laburnumlever.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := handler(ctx, params)
	if err != nil {
		replyError(ctx, conn, req, err)
		return
	}
	if req.Notif {
		return
	}
	// Another error means that the connection is closed, which the caller detects itself.
	var large *FrameTooLargeError
	if err := conn.Reply(ctx, req.ID, result); errors.As(err, &large) {
		_ = level.Error(p.cfg.logger).Log("event", laburnumlever.EventMessageTooLarge, "method", req.Method, "bytes", large.Size, "limit", large.Limit)
		replyError(ctx, conn, req, err)
	}
}

func replyError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, err error) {
	if req.Notif {
		return
	}
	answer := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	answer.SetError(errorData{Kind: KindOf(err)})
	_ = conn.ReplyWithError(ctx, req.ID, answer)
}

// KindOf returns the name of an error's type in kebab case without the suffix "Error": "no-quorum" for
// *laburnumlever.NoQuorumError; of a wrapped error, its innermost cause counts. The answering VM sets
// the Kind of a *laburnumlever.PeerRefusedError with it, so renaming an error type changes what other
// VMs receive.
func KindOf(err error) string {
	t := reflect.TypeOf(errors.UnwrapAll(err))
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var b strings.Builder
	for i, r := range strings.TrimSuffix(t.Name(), "Error") {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// errorKind returns the kind of an error answer; empty if it has none.
func errorKind(answer *jsonrpc2.Error) string {
	var r errorData
	if answer.Data == nil || json.Unmarshal(*answer.Data, &r) != nil {
		return ""
	}
	return r.Kind
}
