package laburnumproxy

import (
	"encoding/json"
	"strings"

	"laburnumlever/laburnumrouter"
)

// message is the part of a chat message that makes up the prompt.
type message struct {
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a content list; images have no text.
type contentPart struct {
	Text string `json:"text"`
}

// promptText returns the prompt as an engine reads it: a completion's prompt, or the contents
// of a chat's messages joined by newlines. Engines report hashes of cached prefixes of that
// text, so it must not be the JSON. It is empty for prompts given as tokens.
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
			break // only a prefix of this length is hashed
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

// promptBytes returns the length of the encoded prompt, in bytes.
func promptBytes(c *completion) int {
	n := len(c.Prompt)
	for i := range c.Messages {
		n += len(c.Messages[i].Content)
	}
	return n
}
