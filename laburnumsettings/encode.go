package laburnumsettings

import (
	"encoding/json"
	"strings"
)

// encodeLine encodes a value as JSON on one line.
func encodeLine(value any) (string, error) {
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(value)
	return strings.TrimSpace(b.String()), err
}
