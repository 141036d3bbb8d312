package laburnumload

import (
	"context"
	"net/http"
	"strings"

	"laburnumlever"
)

// sendControl sends one request to a stand-in's control endpoint. Errors:
// *laburnumlever.InvalidValueError for a status of 300 or above.
func sendControl(ctx context.Context, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &laburnumlever.InvalidValueError{Name: url, Value: resp.Status, Want: "a status below 300"}
	}
	return nil
}
