package laburnumproxy

import (
	"encoding/json"
	"strings"

	"laburnumlever/laburnumrouter"
)

// message is the part of a chat's message that its prompt is made of.
type message struct {
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a content that is a list; images have no text.
type contentPart struct {
	Text string `json:"text"`
}

// promptText is the text that an engine reads: a completion's prompt, or the contents of
// a chat's messages, a line each. Engines report hashes of its beginning as cached, so
// it must be the text itself and not its JSON. It is empty for prompts given as tokens.
func promptText(c *completion) string {
	if len(c.Messages) == 0 {
		return contentText(c.Prompt)
	}
	contents := make([]string, 0, len(c.Messages))
	length := 0
	for i := range c.Messages {
		text := contentText(c.Messages[i].Content)
		contents = append(contents, text)
		if length += len(text); length >= laburnumrouter.PrefixBytes {
			break // only the beginning is hashed
		}
	}
	return strings.Join(contents, "\n")
}

func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return ""
	}
	for _, part := range parts {
		text += part.Text
	}
	return text
}

// promptBytes is the length of the whole prompt as it came.
func promptBytes(c *completion) int {
	n := len(c.Prompt)
	for i := range c.Messages {
		n += len(c.Messages[i].Content)
	}
	return n
}
