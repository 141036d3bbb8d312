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

// Client calls the operators' interface of one VM.
type Client struct {
	address string
	http    *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client, for timeouts or TLS. The default has no timeout.
func WithHTTPClient(client *http.Client) ClientOption {
	return func(c *Client) { c.http = client }
}

// NewClient returns a client for the VM whose operators listener has the address, an
// IP address and port.
func NewClient(address string, opts ...ClientOption) *Client {
	c := &Client{address: address, http: &http.Client{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Apply sends a change of the catalogue. It returns a
// *laburnumlever.OutcomeUnknownError if the answer is lost; the same request can then
// safely be resent.
func (c *Client) Apply(ctx context.Context, req laburnumlever.ApplyRequest) (laburnumlever.ApplyAnswer, error) {
	var answer laburnumlever.ApplyAnswer
	err := c.call(ctx, http.MethodPost, "/catalogue", req, &answer)
	return answer, err
}

// Catalogue reads the catalogue in effect on the VM.
func (c *Client) Catalogue(ctx context.Context) (laburnumlever.Catalogue, error) {
	var catalogue laburnumlever.Catalogue
	err := c.call(ctx, http.MethodGet, "/catalogue", nil, &catalogue)
	return catalogue, err
}

// Status reads the VM's own state and its view of the fleet.
func (c *Client) Status(ctx context.Context) (laburnumlever.Status, error) {
	var status laburnumlever.Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Ready returns the reason that the VM is not ready to serve, empty if it is ready.
func (c *Client) Ready(ctx context.Context) (reason string, err error) {
	var health Health
	if err := c.call(ctx, http.MethodGet, "/readyz", nil, &health); err != nil {
		return "", err
	}
	return health.Reason, nil
}

// ExplainModel reads the explanation of a model's placement.
func (c *Client) ExplainModel(ctx context.Context, name laburnumlever.ModelName) (laburnumlever.Explanation, error) {
	var explanation laburnumlever.Explanation
	err := c.call(ctx, http.MethodGet, "/explain/model/"+url.PathEscape(string(name)), nil, &explanation)
	return explanation, err
}

// ExplainRequest reads the explanation of a request's outcome.
func (c *Client) ExplainRequest(ctx context.Context, id string) (laburnumlever.Explanation, error) {
	var explanation laburnumlever.Explanation
	err := c.call(ctx, http.MethodGet, "/explain/request/"+url.PathEscape(id), nil, &explanation)
	return explanation, err
}

// LiftPart has a control VM serve requests with a part of their prompts again.
func (c *Client) LiftPart(ctx context.Context, lift laburnumlever.PartLift) error {
	var lifted laburnumlever.PartLift
	return c.call(ctx, http.MethodPost, "/quarantine/lift", lift, &lifted)
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

// sendError returns an *UnreachableError for a request that changed nothing, which is
// certain only for a failed dial or a GET, and a *laburnumlever.OutcomeUnknownError
// otherwise.
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
