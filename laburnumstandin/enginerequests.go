package laburnumstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"laburnumlever"
)

const (
	headerAttempt  = "X-Attempt-Id"
	headerPriority = "X-Priority"
	headerResume   = "X-Resume-From"
	headerOutcome  = "Laburnumlever-Outcome"

	// outcomeNotRun guarantees that the request did not run.
	outcomeNotRun = "not-run"
	// Values of error.type in a stand-in's error responses.
	errorBadRequest = "bad-request"
	errorBusy       = "busy"

	defaultMaxTokens = 16
	maxBodyBytes     = 8 << 20
)

// completionRequest has the fields of an OpenAI-style request that a stand-in reads.
type completionRequest struct {
	Model     laburnumlever.ModelName `json:"model"`
	Prompt    string                  `json:"prompt"`
	Messages  []chatMessage           `json:"messages"`
	MaxTokens int                     `json:"max_tokens"`
	Stream    bool                    `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string                  `json:"id"`
	Object  string                  `json:"object"`
	Model   laburnumlever.ModelName `json:"model"`
	Choices []choice                `json:"choices"`
	Usage   *usage                  `json:"usage,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Outcome string `json:"outcome,omitempty"`
}

// JoinMessages turns a chat into a prompt: the contents of its messages, joined by
// newlines.
func JoinMessages(contents []string) string { return strings.Join(contents, "\n") }

func (r completionRequest) prompt() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	contents := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		contents[i] = m.Content
	}
	return JoinMessages(contents)
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engine/claim", e.serveClaim)
	mux.HandleFunc("POST /engine/order", e.serveOrder)
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) })
	mux.HandleFunc("GET /violations", func(w http.ResponseWriter, _ *http.Request) {
		list := e.Violations()
		if list == nil {
			list = []Violation{}
		}
		writeJSON(w, http.StatusOK, list)
	})
	return mux
}

// claimBody is the request body of POST /engine/claim.
type claimBody struct {
	Fence uint64 `json:"fence"`
}

func (e *Engine) serveClaim(w http.ResponseWriter, r *http.Request) {
	var body claimBody
	if !readJSON(w, r, &body) {
		return
	}
	writeJSON(w, http.StatusOK, e.Claim(body.Fence))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order laburnumlever.Order
	if !readJSON(w, r, &order) {
		return
	}
	writeJSON(w, http.StatusOK, e.Order(order))
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	if id := r.Header.Get(headerAttempt); id != "" {
		w.Header().Set(headerAttempt, id)
	}
	var req completionRequest
	if !readJSON(w, r, &req) {
		return
	}
	servingCopy := e.startRequest(req.Model)
	if servingCopy == nil {
		writeNotRun(w, "the model is not loaded")
		return
	}
	defer e.finishRequest(servingCopy)
	if !e.acquire(r.Context(), priorityOf(r)) {
		writeNotRun(w, "the queue is full")
		return
	}
	defer e.release()
	answer := answerWriter{engine: e, w: w, r: r, req: req, chat: chat, prompt: req.prompt()}
	answer.writeAnswer()
}

// startRequest counts a request on the copy that serves it, so that an unload waits
// for it. It returns nil if the model has no ready copy.
func (e *Engine) startRequest(model laburnumlever.ModelName) *modelCopy {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.memory.serving(model)
	if h != nil {
		h.inFlight++
	}
	return h
}

func (e *Engine) finishRequest(h *modelCopy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h.inFlight--
	e.removeIfDrained(h)
}

func priorityOf(r *http.Request) laburnumlever.Priority {
	if p, err := laburnumlever.PriorityString(r.Header.Get(headerPriority)); err == nil {
		return p
	}
	return laburnumlever.Interactive
}

func resumeFrom(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(headerResume))
	if err != nil {
		return 0
	}
	return max(0, n)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		w.Header().Set(headerOutcome, outcomeNotRun)
		writeJSON(w, http.StatusBadRequest, errorBody{Error: errorDetail{Type: errorBadRequest, Message: err.Error(), Outcome: outcomeNotRun}})
		return false
	}
	return true
}

func writeNotRun(w http.ResponseWriter, message string) {
	w.Header().Set(headerOutcome, outcomeNotRun)
	writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: errorDetail{
		Type: errorBusy, Message: message, Outcome: outcomeNotRun,
	}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
