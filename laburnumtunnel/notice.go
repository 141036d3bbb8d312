package laburnumtunnel

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"laburnumlever"
)

const (
	// noticePath is where a helper takes notices.
	noticePath = "/server-notice"
	// maxNoticeBytes bounds a notice.
	maxNoticeBytes = 4 << 10
)

// Notice tells a helper what a backend server asked of it in an answer that went through a tunnel: the server knows the
// helper only, and the helper does not read what its tunnels carry.
type Notice struct {
	Address     string                  `json:"address"`
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"born,omitempty"`
	// Leaving reports whether the server is about to stop, Rest for how long it wants nothing.
	Leaving bool                   `json:"leaving,omitempty"`
	Rest    laburnumlever.Duration `json:"rest,omitempty"`
}

// WithNotices sets the function that takes notices; by default they are dropped.
func WithNotices(fn func(Notice)) ServerOption { return func(s *Server) { s.noticed = fn } }

// Notify sends a notice to the helper at an address. An error is a *HelperError, also for one of an earlier build, which takes
// none, or the failure of the call.
func Notify(ctx context.Context, helper string, n Notice) error {
	body, err := json.Marshal(n)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+helper+noticePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // only the status matters
	if resp.StatusCode != http.StatusOK {
		return &HelperError{Helper: helper, Status: resp.StatusCode}
	}
	return nil
}

// takeNotice reads a notice.
func (s *Server) takeNotice(w http.ResponseWriter, r *http.Request) {
	var n Notice
	body, err := io.ReadAll(io.LimitReader(r.Body, maxNoticeBytes))
	if err == nil {
		err = json.Unmarshal(body, &n)
	}
	if err != nil || n.Rest < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.noticed(n)
}

// Retire has the tunnels to a server carry no further requests.
func (s *Server) Retire(address string) {
	s.mu.Lock()
	var open []*tunnel
	for t := range s.tunnels {
		if t.address == address {
			open = append(open, t)
		}
	}
	s.mu.Unlock()
	for _, t := range open {
		_ = t.write(mark(leavingLength)) // a tunnel that breaks ends by itself
	}
}
