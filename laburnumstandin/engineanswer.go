package laburnumstandin

import (
	"encoding/json"
	"net/http"
	"strings"
)

// answerWriter writes one answer as a single JSON body or as server-sent events.
type answerWriter struct {
	engine *Engine
	w      http.ResponseWriter
	r      *http.Request
	req    completionRequest
	chat   bool
	prompt string
}

func (a answerWriter) writeAnswer() {
	if !a.engine.prefill(a.r.Context(), a.prompt) {
		return
	}
	if a.req.Stream {
		a.writeStream()
		return
	}
	a.writeWhole()
}

func (a answerWriter) tokenCount() int {
	if a.req.MaxTokens > 0 {
		return a.req.MaxTokens
	}
	return defaultMaxTokens
}

func (a answerWriter) writeStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	for i := resumeFrom(a.r); i < a.tokenCount(); i++ {
		if !a.engine.waitToken(a.r.Context()) {
			return
		}
		if !a.writeEvent(a.chunk(Token(a.prompt, i), nil)) {
			return
		}
	}
	stop := "stop"
	if a.writeEvent(a.chunk("", &stop)) {
		_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
		a.flush()
	}
}

func (a answerWriter) writeEvent(c completion) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	if _, err := a.w.Write([]byte("data: " + string(text) + "\n\n")); err != nil {
		return false
	}
	a.flush()
	return true
}

func (a answerWriter) flush() { _ = http.NewResponseController(a.w).Flush() }

func (a answerWriter) chunk(text string, finish *string) completion {
	c := completion{ID: a.id(), Object: "text_completion", Model: a.req.Model}
	if !a.chat {
		c.Choices = []choice{{Text: text, FinishReason: finish}}
		return c
	}
	c.Object = "chat.completion.chunk"
	c.Choices = []choice{{Delta: &chatMessage{Role: "assistant", Content: text}, FinishReason: finish}}
	return c
}

func (a answerWriter) writeWhole() {
	var text strings.Builder
	for i := range a.tokenCount() {
		if !a.engine.waitToken(a.r.Context()) {
			return
		}
		text.WriteString(Token(a.prompt, i))
	}
	stop := "stop"
	c := a.chunk(text.String(), &stop)
	if a.chat {
		c.Object = "chat.completion"
		c.Choices = []choice{{Message: &chatMessage{Role: "assistant", Content: text.String()}, FinishReason: &stop}}
	}
	prompt := PromptTokens(a.prompt)
	c.Usage = &usage{PromptTokens: prompt, CompletionTokens: a.tokenCount(), TotalTokens: prompt + a.tokenCount()}
	writeJSON(a.w, http.StatusOK, c)
}

func (a answerWriter) id() string {
	return "cmpl-" + a.r.Header.Get(headerAttempt)
}
