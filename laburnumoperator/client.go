package laburnumoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"laburnumlever"
)

// Client asks one VM.
type Client struct {
	address string
	http    *http.Client
}

// ClientOption changes a Client while it is built.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client, for timeouts or TLS.
func WithHTTPClient(client *http.Client) ClientOption {
	return func(c *Client) { c.http = client }
}

// NewClient returns a client of the VM whose operators listener is at the IP
// address and port.
func NewClient(address string, opts ...ClientOption) *Client {
	c := &Client{address: address, http: &http.Client{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Apply sends a change. An answer that got lost is a
// *laburnumlever.OutcomeUnknownError: the same request may be sent again.
func (c *Client) Apply(ctx context.Context, req laburnumlever.ApplyRequest) (laburnumlever.ApplyAnswer, error) {
	var answer laburnumlever.ApplyAnswer
	err := c.call(ctx, http.MethodPost, "/catalogue", req, &answer)
	return answer, err
}

// Catalogue reads the catalogue in force on the VM.
func (c *Client) Catalogue(ctx context.Context) (laburnumlever.Catalogue, error) {
	var catalogue laburnumlever.Catalogue
	err := c.call(ctx, http.MethodGet, "/catalogue", nil, &catalogue)
	return catalogue, err
}

// Status reads the VM's account of itself.
func (c *Client) Status(ctx context.Context) (laburnumlever.Status, error) {
	var status laburnumlever.Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Ready asks whether the VM may serve; the reason is empty if so.
func (c *Client) Ready(ctx context.Context) (reason string, err error) {
	var health Health
	if err := c.call(ctx, http.MethodGet, "/readyz", nil, &health); err != nil {
		return "", err
	}
	return health.Reason, nil
}

// ExplainModel asks why a model is where it is.
func (c *Client) ExplainModel(ctx context.Context, name laburnumlever.ModelName) (laburnumlever.Explanation, error) {
	var explanation laburnumlever.Explanation
	err := c.call(ctx, http.MethodGet, "/explain/model/"+url.PathEscape(string(name)), nil, &explanation)
	return explanation, err
}

// ExplainRequest asks what became of a request.
func (c *Client) ExplainRequest(ctx context.Context, id string) (laburnumlever.Explanation, error) {
	var explanation laburnumlever.Explanation
	err := c.call(ctx, http.MethodGet, "/explain/request/"+url.PathEscape(id), nil, &explanation)
	return explanation, err
}

// SetLogLevel changes the VM's log level.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	var set LogLevel
	return c.call(ctx, http.MethodPut, "/log-level", LogLevel{Level: level}, &set)
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var payload io.Reader = http.NoBody
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return &BadRequestError{Detail: err.Error()}
		}
		payload = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, payload)
	if err != nil {
		return &BadRequestError{Detail: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return c.sendError(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.decodeResponse(method, resp, into)
}

// sendError tells apart what was never sent from what may have arrived:
// only a failed dial is sure.
func (c *Client) sendError(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || method == http.MethodGet {
		return &UnreachableError{Address: c.address, Cause: errors.UnwrapAll(err)}
	}
	return &laburnumlever.OutcomeUnknownError{Detail: "no answer from " + c.address + ": " + errors.UnwrapAll(err).Error()}
}

func (c *Client) decodeResponse(method string, resp *http.Response, into any) error {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.sendError(method, err)
	}
	if _, isHealth := into.(*Health); !isHealth && resp.StatusCode != http.StatusOK {
		var body ErrorBody
		if err := json.Unmarshal(text, &body); err != nil {
			return &UnexpectedAnswerError{Address: c.address, Status: resp.StatusCode, Detail: http.StatusText(resp.StatusCode)}
		}
		return decodeError(c.address, resp.StatusCode, body.Error)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return &UnexpectedAnswerError{Address: c.address, Status: resp.StatusCode, Detail: err.Error()}
	}
	return nil
}
