package laburnumstandin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// platformHost is the hostname of the stand-in manifest's routes.
const platformHost = "quotes.example"

// draftPath is a path of the stand-in manifest's second route for streams.
const draftPath = "/draft/x"

// partTokens is what follows the ID of a part in a prompt.
const partTokens = ":50"

// PlatformCaller stands in for callers and operators of the users' platform. It keeps
// connections alive and reuses each until the peer closes it.
type PlatformCaller struct {
	client *http.Client
	key    string
}

// PlatformAccount is a client account of the stand-in manifest.
type PlatformAccount struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
	// Rate and Burst are its quota in requests; 0 for none.
	Rate  float64 `json:"rate_per_s"`
	Burst float64 `json:"burst"`
}

// WithKey returns a caller with a client account's key, on the same connections.
func (c *PlatformCaller) WithKey(key string) *PlatformCaller {
	return &PlatformCaller{client: c.client, key: key}
}

// NewPlatformCaller makes a caller with its own connection pool.
func NewPlatformCaller() *PlatformCaller { return newPlatformCaller(&net.Dialer{}, nil) }

// NewSlowPlatformCaller is NewPlatformCaller for a caller that waits before each read for what pause returns.
func NewSlowPlatformCaller(pause func() time.Duration) *PlatformCaller {
	return newPlatformCaller(&net.Dialer{Control: boundReadBuffer}, pause)
}

func newPlatformCaller(dialer *net.Dialer, pause func() time.Duration) *PlatformCaller {
	const idle = 64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &callerConn{Conn: conn, pause: pause}, nil
	}
	return &PlatformCaller{client: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idle}}}
}

// Confirm sends a non-idempotent request and returns the HTTP status and the body.
func (c *PlatformCaller) Confirm(ctx context.Context, gateway, id, text string) (int, []byte, error) {
	return c.send(ctx, http.MethodPost, gateway+"/confirm/x", []byte(text), requestHeaders{id: id})
}

// Quote requests a stream and returns the HTTP status and as much of the body as was received. Its prompt has the parts, and one of
// its own.
func (c *PlatformCaller) Quote(ctx context.Context, gateway, id, text string, parts ...string) (int, []byte, error) {
	own := fmt.Sprintf("%x", xxhash.Sum64String(id))
	prompt := strings.Join(append(slices.Clone(parts), own), partTokens+",") + partTokens
	return c.send(ctx, http.MethodPost, gateway+"/quote/x", []byte(text), requestHeaders{id: id, model: "m0", parts: prompt})
}

// Draft is Quote for the other service of engines.
func (c *PlatformCaller) Draft(ctx context.Context, gateway, id, text string) (int, []byte, error) {
	return c.send(ctx, http.MethodPost, gateway+draftPath, []byte(text), requestHeaders{id: id, model: "m0"})
}

// Request sends a request on a route of the series, a stream's on an engine's.
func (c *PlatformCaller) Request(ctx context.Context, gateway string, route SeriesRoute, id string, body []byte) (int, []byte, error) {
	headers := requestHeaders{id: id}
	if route.Streams() {
		headers.model = "m0"
	}
	return c.send(ctx, http.MethodPost, gateway+"/"+route.String()+"/x", body, headers)
}

// RequestGarbled is Request for the routes to servers that spoil answers.
func (c *PlatformCaller) RequestGarbled(ctx context.Context, gateway string, route GarbledRoute, id string) (int, []byte, error) {
	headers := requestHeaders{id: id}
	if route.Streams() {
		headers.model = "m0"
	}
	return c.send(ctx, http.MethodPost, gateway+"/"+route.String()+"/x", []byte(id), headers)
}

// Resume takes a stream of Draft up after its last event; resumes is the id of the attempt that brought the first one.
func (c *PlatformCaller) Resume(ctx context.Context, gateway, id, text string, lastEvent int, resumes string) (int, []byte, error) {
	return c.send(ctx, http.MethodPost, gateway+draftPath, []byte(text),
		requestHeaders{id: id, model: "m0", lastEvent: strconv.Itoa(lastEvent), resumes: resumes})
}

// StreamEvent is an event of a stream.
type StreamEvent struct {
	ID int
	// Software is the software version of the server that sent it; empty if it names none.
	Software string
}

// StreamEvents returns the whole events in as much of a stream's body as was received.
func StreamEvents(body []byte) []StreamEvent {
	var events []StreamEvent
	for text := range strings.SplitSeq(string(body), "\n\n") {
		id, data, _ := strings.Cut(text, "\n")
		id, ok := strings.CutPrefix(id, "id: ")
		if !ok {
			continue
		}
		n, _ := strconv.Atoi(id) // an invalid id becomes 0, which no event has
		_, software, _ := strings.Cut(data, softwareMark)
		events = append(events, StreamEvent{ID: n, Software: software})
	}
	return events
}

// EventIDs returns the ids of the events in a stream's body.
func EventIDs(body []byte) []int {
	var events []int
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, _ := strconv.Atoi(text) // an invalid id becomes 0, which no event has
			events = append(events, n)
		}
	}
	return events
}

// Garbage returns the first piece in a stream's body that is neither an event of a PlatformServer, nor a comment or a retry field;
// empty for none. What follows the last empty line of a body that did not arrive whole is ignored.
func Garbage(body []byte, whole bool) string {
	pieces := strings.Split(string(body), "\n\n")
	last := len(pieces) - 1
	if !whole || pieces[last] == "" {
		pieces = pieces[:last]
	}
	for _, piece := range pieces {
		lines := slices.DeleteFunc(strings.Split(piece, "\n"), func(line string) bool {
			return strings.HasPrefix(line, ":") || strings.HasPrefix(line, "retry: ")
		})
		if len(lines) > 0 && !isEvent(lines) {
			return piece
		}
	}
	return ""
}

// isEvent reports whether lines are an event that a PlatformServer has made.
func isEvent(lines []string) bool {
	id, ok := strings.CutPrefix(lines[0], "id: ")
	if !ok || len(lines) != 2 {
		return false
	}
	_, text, ok := strings.Cut(lines[1], " word ")
	n := text[:len(text)-len(strings.TrimLeft(text, "0123456789"))]
	return ok && n == id && strings.HasPrefix(lines[1], "data: ")
}

// AnswerIs reports whether the body of a plain answer is that of a PlatformServer which ran the request.
func AnswerIs(body []byte, path, text string) bool {
	return strings.HasSuffix(string(body), fmt.Sprintf(" ran POST %s: %s\n", path, text)) && bytes.Count(body, []byte("\n")) == 1
}

// PlatformEvents is the number of events in a PlatformServer's stream.
func PlatformEvents() int { return platformEvents }

// Apply sends a manifest with the version and returns the HTTP status.
func (c *PlatformCaller) Apply(ctx context.Context, control string, version int, accounts ...PlatformAccount) (int, error) {
	status, _, err := c.send(ctx, http.MethodPut, control+"/v1/config", platformManifest(version, accounts), requestHeaders{})
	return status, err
}

// Read fetches the current manifest and returns the HTTP status and its version.
func (c *PlatformCaller) Read(ctx context.Context, control string) (int, int, error) {
	status, body, err := c.send(ctx, http.MethodGet, control+"/v1/config", nil, requestHeaders{})
	if err != nil || status != http.StatusOK {
		return status, 0, err
	}
	var m struct{ Version int }
	err = json.Unmarshal(body, &m)
	return status, m.Version, err
}

// SetModelHeaders sets the ID of a request and its caller's key and, unless they are empty, its model and token counts.
func SetModelHeaders(header http.Header, id, key, model, tokens string) {
	header.Set(idHeader, id)
	header.Set(keyHeader, key)
	if model != "" {
		header.Set("X-Laburnumlever-Model", model)
		header.Set("X-Laburnumlever-Token-Count", tokens)
	}
}

// requestHeaders are the headers of a request on a route; empty ones are left out.
type requestHeaders struct{ id, model, lastEvent, resumes, parts string }

// send makes a call and returns the HTTP status and as much of the body as was received.
func (c *PlatformCaller) send(ctx context.Context, method, url string, body []byte, headers requestHeaders) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if headers.id != "" {
		req.Host = platformHost
	}
	for name, value := range map[string]string{
		"X-Laburnumlever-Request-Id": headers.id, keyHeader: c.key, "X-Laburnumlever-Model": headers.model,
		"Last-Event-Id": headers.lastEvent, "Resumes": headers.resumes, partsHeader: headers.parts,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}
