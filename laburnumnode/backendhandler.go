package laburnumnode

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"laburnumlever"
)

// maxMessageBytes bounds the body of a backend server's request. The inventory of an
// engine with a few hundred models and their adapters is well below it.
const maxMessageBytes = 1 << 20

// leaveRequest announces that a backend server accepts no new work.
type leaveRequest struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"incarnation"`
}

// errorResponse is the body of an error response to a backend server.
type errorResponse struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// newBackendHandler returns the handler through which backend servers announce
// themselves, report their load and leave. Errors: *laburnumlever.StartError.
func newBackendHandler(registry laburnumlever.BackendRegistry) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Use(iris.LimitRequestBodySize(maxMessageBytes))
	app.Post("/backend/announce", func(ctx iris.Context) {
		var a laburnumlever.Announcement
		if !readMessage(ctx, &a) {
			return
		}
		writeResult(ctx, registry.Announce(ctx.Request().Context(), a))
	})
	app.Post("/backend/report", func(ctx iris.Context) {
		var r laburnumlever.LoadReport
		if !readMessage(ctx, &r) {
			return
		}
		writeResult(ctx, registry.Report(ctx.Request().Context(), r))
	})
	app.Post("/backend/leave", func(ctx iris.Context) {
		var l leaveRequest
		if !readMessage(ctx, &l) {
			return
		}
		writeResult(ctx, registry.Leave(ctx.Request().Context(), l.Backend, l.Incarnation))
	})
	if err := app.Build(); err != nil {
		return nil, &laburnumlever.StartError{Part: "backends handler", Cause: err}
	}
	return app, nil
}

func readMessage(ctx iris.Context, message any) bool {
	if err := ctx.ReadJSON(message); err != nil {
		writeError(ctx, http.StatusBadRequest, "bad-request", err)
		return false
	}
	return true
}

func writeResult(ctx iris.Context, err error) {
	var stale *laburnumlever.StaleNewsError
	var invalid *laburnumlever.InvalidValueError
	switch {
	case err == nil:
		ctx.StatusCode(http.StatusNoContent)
	case errors.As(err, &stale):
		writeError(ctx, http.StatusConflict, "stale-news", err)
	case errors.As(err, &invalid):
		writeError(ctx, http.StatusBadRequest, "invalid-value", err)
	default:
		writeError(ctx, http.StatusServiceUnavailable, "unavailable", err)
	}
}

func writeError(ctx iris.Context, status int, kind string, err error) {
	_ = ctx.StopWithJSON(status, errorResponse{Type: kind, Message: err.Error()})
}
