package laburnumnode

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"laburnumlever"
)

// maxNewsBytes bounds one message of a backend server: an inventory of a few
// hundred models with their adapters is well under it.
const maxNewsBytes = 1 << 20

// leaveNews is a backend server's word that it takes no new work.
type leaveNews struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"incarnation"`
}

// newsError is the body of a refusal to a backend server.
type newsError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// newBackendHandler serves the paths where backend servers announce themselves.
func newBackendHandler(registry laburnumlever.BackendRegistry) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Use(iris.LimitRequestBodySize(maxNewsBytes))
	app.Post("/backend/announce", func(ctx iris.Context) {
		var a laburnumlever.Announcement
		if !readNews(ctx, &a) {
			return
		}
		answerNews(ctx, registry.Announce(ctx.Request().Context(), a))
	})
	app.Post("/backend/report", func(ctx iris.Context) {
		var r laburnumlever.LoadReport
		if !readNews(ctx, &r) {
			return
		}
		answerNews(ctx, registry.Report(ctx.Request().Context(), r))
	})
	app.Post("/backend/leave", func(ctx iris.Context) {
		var l leaveNews
		if !readNews(ctx, &l) {
			return
		}
		answerNews(ctx, registry.Leave(ctx.Request().Context(), l.Backend, l.Incarnation))
	})
	if err := app.Build(); err != nil {
		return nil, &laburnumlever.StartError{Part: "backends handler", Cause: err}
	}
	return app, nil
}

func readNews(ctx iris.Context, news any) bool {
	if err := ctx.ReadJSON(news); err != nil {
		refuseNews(ctx, http.StatusBadRequest, "bad-request", err)
		return false
	}
	return true
}

func answerNews(ctx iris.Context, err error) {
	var stale *laburnumlever.StaleNewsError
	var invalid *laburnumlever.InvalidValueError
	switch {
	case err == nil:
		ctx.StatusCode(http.StatusNoContent)
	case errors.As(err, &stale):
		refuseNews(ctx, http.StatusConflict, "stale-news", err)
	case errors.As(err, &invalid):
		refuseNews(ctx, http.StatusBadRequest, "invalid-value", err)
	default:
		refuseNews(ctx, http.StatusServiceUnavailable, "unavailable", err)
	}
}

func refuseNews(ctx iris.Context, status int, kind string, err error) {
	_ = ctx.StopWithJSON(status, newsError{Type: kind, Message: err.Error()})
}
