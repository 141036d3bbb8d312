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

// hopByHopHeaders belong to one connection and are not forwarded (RFC 9110, 7.6.1);
// neither are the proxy's own headers for attempts.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", headerAttemptID, headerResumeFrom,
}

// addedHeaders is the number of headers that newBackendRequest adds.
const addedHeaders = 4

// transportFor keeps non-idempotent requests off reused connections. A connection that the
// backend server has just closed would accept the request's bytes and lose them, and the
// outcome would be reported as unknown needlessly.
func (p *Proxy) transportFor(q *request) *http.Transport {
	if q.atMostOnce {
		return p.unpooled
	}
	return p.pooled
}

func (p *Proxy) newBackendRequest(ctx context.Context, q *request, a *attempt, to laburnumlever.Announcement) *http.Request {
	header := forwardedHeaders(q.header)
	header.Set(headerAttemptID, a.id)
	header.Set(headerRequestID, q.id)
	header.Set(headerPriority, q.class.Priority.String())
	url := "http://" + to.Address + q.path
	req, err := http.NewRequestWithContext(ctx, q.method, url, nil)
	if err != nil {
		req = &http.Request{Method: q.method, Host: to.Address} // it has no URL, so RoundTrip refuses it without sending
		return req.WithContext(ctx)
	}
	req.Header = header
	if len(q.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(q.body))
		req.ContentLength = int64(len(q.body))
		if !q.atMostOnce {
			// Lets net/http use another connection if a reused one turns out to be closed
			// before anything was written; attempt prevents a retry after a write.
			req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(q.body)), nil }
		}
	}
	return req
}

func forwardedHeaders(from http.Header) http.Header {
	out := make(http.Header, len(from)+addedHeaders)
	for name, values := range from {
		out[name] = values
	}
	removeHopByHopHeaders(out)
	return out
}

func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
