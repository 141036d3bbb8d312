package laburnumproxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"laburnumlever"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1);
// nor are ours for attempts.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", headerAttempt, headerResume,
}

// ownHeaders is how many headers outgoing adds.
const ownHeaders = 4

// transport keeps non-idempotent requests off reused connections: one that the
// backend server has just closed would take the request's bytes and lose them, and
// the caller would be told unknown for nothing.
func (p *Proxy) transport(q *request) *http.Transport {
	if q.once {
		return p.single
	}
	return p.pooled
}

func (p *Proxy) outgoing(ctx context.Context, q *request, a *attempt, to laburnumlever.Announcement) *http.Request {
	header := passedHeaders(q.header)
	header.Set(headerAttempt, a.id)
	header.Set(headerRequest, q.id)
	header.Set(headerPriority, q.class.Priority.String())
	url := "http://" + to.Address + q.path
	req, err := http.NewRequestWithContext(ctx, q.method, url, nil)
	if err != nil {
		req = &http.Request{Method: q.method, Host: to.Address} // RoundTrip refuses it unsent: it has no URL
		return req.WithContext(ctx)
	}
	req.Header = header
	if len(q.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(q.body))
		req.ContentLength = int64(len(q.body))
		if !q.once {
			// Lets net/http take another connection when a reused one turns out
			// closed before anything was written; see attempt for the rest.
			req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(q.body)), nil }
		}
	}
	return req
}

func passedHeaders(from http.Header) http.Header {
	out := make(http.Header, len(from)+ownHeaders)
	for name, values := range from {
		out[name] = values
	}
	dropHopHeaders(out)
	return out
}

func dropHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
