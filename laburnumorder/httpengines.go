package laburnumorder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumsocket"
)

const (
	claimPath = "/engine/claim"
	orderPath = "/engine/order"

	dialTimeout       = 2 * time.Second
	idleTimeout       = time.Minute
	idlePerEngine     = 1
	maxAnswerBytes    = 4 << 20
	maxHeaderBytes    = 64 << 10 // of an answer, with the informational answers before it
	contentTypeJSON   = "application/json"
	headerContentType = "Content-Type"
)

// HTTPEngines sends claims and orders to engines as JSON over HTTP. It is safe for
// concurrent use.
type HTTPEngines struct{ client *http.Client }

// HTTPOption configures HTTPEngines.
type HTTPOption func(*HTTPEngines)

// WithClient sets the HTTP client.
func WithClient(client *http.Client) HTTPOption { return func(h *HTTPEngines) { h.client = client } }

// NewHTTPEngines returns an HTTP client for engines. It follows no redirects: a redirect
// would send the order a second time, to an engine that it is not meant for.
func NewHTTPEngines(opts ...HTTPOption) laburnumlever.Engines {
	h := &HTTPEngines{client: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         laburnumsocket.ResetOnCloseDialer((&net.Dialer{Timeout: dialTimeout}).DialContext),
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: idlePerEngine, MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

type claimBody struct {
	Fence uint64 `json:"fence"`
}

// Claim raises the engine's fencing number to fence and returns its inventory.
func (h *HTTPEngines) Claim(ctx context.Context, to laburnumlever.Announcement, fence uint64) (laburnumlever.Inventory, error) {
	var inventory laburnumlever.Inventory
	err := h.post(ctx, to, claimPath, claimBody{Fence: fence}, &inventory)
	return inventory, err
}

// Order sends one order. A *laburnumlever.NotSentError means that no connection was
// established; after any other error the outcome is unknown.
func (h *HTTPEngines) Order(ctx context.Context, to laburnumlever.Announcement, order laburnumlever.Order) (laburnumlever.OrderAnswer, error) {
	var answer laburnumlever.OrderAnswer
	err := h.post(ctx, to, orderPath, order, &answer)
	return answer, err
}

func (h *HTTPEngines) post(ctx context.Context, to laburnumlever.Announcement, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return &laburnumlever.NotSentError{Cause: err}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(text))
	if err != nil {
		return &laburnumlever.NotSentError{Cause: err}
	}
	req.Header.Set(headerContentType, contentTypeJSON)
	res, err := h.client.Do(req)
	if err != nil {
		if !connected.Load() {
			return &laburnumlever.NotSentError{Cause: err}
		}
		return &EngineAnswerError{Backend: to.Backend, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return &EngineAnswerError{Backend: to.Backend, Status: res.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(into); err != nil {
		return &EngineAnswerError{Backend: to.Backend, Status: res.StatusCode, Cause: err}
	}
	return nil
}
