package laburnumload

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlever"
	"laburnumlever/laburnumtimer"
)

const (
	headerKey        = "Idempotency-Key"
	headerRequest    = "X-Request-Id"
	headerOutcome    = "Laburnumlever-Outcome"
	headerRetryAfter = "Retry-After"

	eventData    = "data: "
	endMarker    = "[DONE]"
	maxEvent     = 1 << 20
	idleConns    = 512
	bearerPrefix = "Bearer "
)

// Caller is an HTTP client that sends requests and measures the answers. It is safe
// for use by many goroutines.
type Caller struct {
	client *http.Client
	timers laburnumlever.Timers
	runID  string
}

// NewCaller returns a caller on the system clock that sends no X-Request-Id header.
func NewCaller() *Caller { return newCaller(laburnumtimer.New(), "") }

func newCaller(timers laburnumlever.Timers, run string) *Caller {
	transport := &http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &Caller{client: &http.Client{Transport: transport}, timers: timers, runID: run}
}

// requestID is the X-Request-Id of an arrival. A resend is an arrival of its own and
// has a different id.
func (c *Caller) requestID(a Arrival) string {
	return fmt.Sprintf("%s-%d", c.runID, a.Number)
}

// Send sends a request to a VM's callers address and reads the whole answer.
func (c *Caller) Send(ctx context.Context, address string, a Arrival) Answer {
	req, err := c.request(ctx, address, a)
	if err != nil {
		return Answer{Lost: err.Error(), NotSent: true}
	}
	start := c.timers.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return lostAnswer(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer := Answer{
		Status:     resp.StatusCode,
		Outcome:    resp.Header.Get(headerOutcome),
		RetryAfter: resp.Header.Get(headerRetryAfter) != "",
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = c.readStream(resp.Body, start, &answer)
	} else {
		err = c.readWhole(resp.Body, start, a, &answer)
	}
	if err != nil {
		answer.Lost = err.Error()
	}
	answer.Total = c.timers.Now().Sub(start)
	return answer
}

// lostAnswer is the answer of a request that failed without a response. Only a failed
// dial guarantees that nothing was sent.
func lostAnswer(err error) Answer {
	var op *net.OpError
	return Answer{Lost: errors.UnwrapAll(err).Error(), NotSent: errors.As(err, &op) && op.Op == "dial"}
}

// chatRequest is the body of an OpenAI-style chat completion request.
type chatRequest struct {
	Model     laburnumlever.ModelName `json:"model"`
	Messages  []chatMessage           `json:"messages"`
	MaxTokens int                     `json:"max_tokens"`
	Stream    bool                    `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chatAnswer has the fields that are read of an answer or of one event of a stream.
type chatAnswer struct {
	Choices []chatChoice `json:"choices"`
	Error   *refusalBody `json:"error"`
}

type chatChoice struct {
	Message chatMessage `json:"message"`
	Delta   chatMessage `json:"delta"`
}

type refusalBody struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

func (c *Caller) request(ctx context.Context, address string, a Arrival) (*http.Request, error) {
	method, path, body := a.Method, "/services/"+string(a.Service)+a.Path, a.Prompt
	if a.Service == "" {
		text, err := json.Marshal(chatRequest{
			Model: a.Model, Messages: []chatMessage{{Role: "user", Content: a.Prompt}}, MaxTokens: a.MaxTokens, Stream: a.Stream,
		})
		if err != nil {
			return nil, err
		}
		method, path, body = http.MethodPost, "/v1/chat/completions", string(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", bearerPrefix+a.Caller)
	if c.runID != "" {
		req.Header.Set(headerRequest, c.requestID(a))
	}
	if a.Key != "" {
		req.Header.Set(headerKey, a.Key)
	}
	// net/http retries a request with an idempotency key on its own if it can get the
	// body again. The tool counts sends, and would attribute the retry to the system.
	req.GetBody = nil
	return req, nil
}

func (c *Caller) readWhole(body io.Reader, start time.Time, a Arrival, answer *Answer) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	answer.FirstToken = c.timers.Now().Sub(start)
	answer.Text = string(text)
	var parsed chatAnswer
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil //nolint:nilerr // A body that is not JSON is checked as text.
	}
	answer.setRefusal(parsed.Error)
	if a.Service == "" && len(parsed.Choices) > 0 {
		answer.Text = parsed.Choices[0].Message.Content
	}
	return nil
}

func (c *Caller) readStream(body io.Reader, start time.Time, answer *Answer) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	var text strings.Builder
	defer func() { answer.Text = text.String() }()
	last := start
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), eventData)
		if !isData {
			continue
		}
		if data == endMarker {
			answer.EndMarker = true
			continue
		}
		var event chatAnswer
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		answer.setRefusal(event.Error)
		token := event.token()
		if token == "" {
			continue
		}
		now := c.timers.Now()
		answer.recordToken(start, last, now)
		last = now
		text.WriteString(token)
	}
	return lines.Err()
}

func (a chatAnswer) token() string {
	if len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Delta.Content
}

func (a *Answer) setRefusal(refusal *refusalBody) {
	if refusal == nil {
		return
	}
	a.Reason = refusal.Type
	a.Outcome = refusal.Outcome
}

func (a *Answer) recordToken(start, last, now time.Time) {
	if last.Equal(start) {
		a.FirstToken = now.Sub(start)
		return
	}
	a.Gaps = append(a.Gaps, now.Sub(last))
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Data []modelEntry `json:"data"`
}

type modelEntry struct {
	ID string `json:"id"`
}

// Models lists the models that a VM offers at its callers address.
func (c *Caller) Models(ctx context.Context, address string) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/models", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var list modelList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, err
	}
	names := make([]string, len(list.Data))
	for i, entry := range list.Data {
		names[i] = entry.ID
	}
	return names, nil
}
