package laburnumoperator

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/kataras/iris/v12"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

// maxBodyBytes bounds the body of a request. The largest planned catalogue, 370 models
// with their adapters, is below 1 MiB.
const maxBodyBytes = 16 << 20

// handler serves the operators' interface of one VM.
type handler struct {
	ops     laburnumlever.Operations
	logger  log.Logger
	metrics http.Handler
}

// Option configures a handler.
type Option func(*handler)

// WithMetrics sets the handler for /metrics; without it the path is not found.
func WithMetrics(metrics http.Handler) Option {
	return func(h *handler) { h.metrics = metrics }
}

// WithLogger sets the logger for changes and for responses that could not be written;
// the default discards everything.
func WithLogger(logger log.Logger) Option {
	return func(h *handler) { h.logger = logger }
}

// NewHandler returns the handler of the operators listener, which also serves the
// platform's health checks.
func NewHandler(ops laburnumlever.Operations, opts ...Option) http.Handler {
	h := &handler{ops: ops, logger: log.NewNopLogger()}
	for _, opt := range opts {
		opt(h)
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	h.routes(app)
	if err := app.Build(); err != nil {
		_ = level.Error(h.logger).Log("msg", "cannot build operators interface", "err", err)
	}
	return app
}

func (h *handler) routes(app *iris.Application) {
	app.Get("/healthz", h.health)
	app.Get("/readyz", h.ready)
	app.Get("/catalogue", func(c iris.Context) { h.writeResult(c, h.ops.Catalogue(), nil) })
	app.Post("/catalogue", h.apply)
	app.Get("/status", func(c iris.Context) { h.writeResult(c, h.ops.Status(), nil) })
	app.Get("/explain/model/{name}", h.explainModel)
	app.Get("/explain/request/{id}", h.explainRequest)
	app.Put("/log-level", h.setLogLevel)
	if h.metrics != nil {
		app.Get("/metrics", iris.FromStd(h.metrics))
	}
	app.OnErrorCode(http.StatusNotFound, func(c iris.Context) {
		h.writeResult(c, nil, &laburnumlever.NotFoundError{Kind: "path", Name: c.Path()})
	})
}

// health reports that the process responds; ready reports whether it serves callers.
func (h *handler) health(c iris.Context) { h.writeResult(c, Health{Status: "ok"}, nil) }

func (h *handler) ready(c iris.Context) {
	reason := h.ops.Status().View.NotReady
	if reason == "" {
		h.writeResult(c, Health{Status: "ready"}, nil)
		return
	}
	h.writeJSON(c, http.StatusServiceUnavailable, Health{Status: "not-ready", Reason: reason})
}

// Health is the body of /healthz and /readyz.
type Health struct {
	// Status is ok, ready or not-ready.
	Status string `json:"status"`
	// Reason is why the VM is not ready; empty otherwise.
	Reason string `json:"reason,omitempty"`
}

func (h *handler) apply(c iris.Context) {
	var req laburnumlever.ApplyRequest
	if err := readBody(c, &req); err != nil {
		h.writeResult(c, nil, err)
		return
	}
	if req.ChangeID == "" {
		h.writeResult(c, nil, &BadRequestError{Detail: "change-id is missing"})
		return
	}
	if faults := laburnumsettings.CheckCatalogue(req.Catalogue); len(faults) > 0 {
		h.writeResult(c, nil, &laburnumlever.CatalogueInvalidError{Faults: faults})
		return
	}
	answer, err := h.ops.Apply(c.Request().Context(), req)
	h.logApply(req, answer, err)
	h.writeResult(c, answer, err)
}

func (h *handler) logApply(req laburnumlever.ApplyRequest, answer laburnumlever.ApplyAnswer, err error) {
	if err != nil {
		_ = level.Warn(h.logger).Log("msg", "change refused", "change-id", req.ChangeID, "expected", req.ExpectedRevision, "err", err)
		return
	}
	msg := "change accepted"
	if req.DryRun {
		msg = "change would be accepted"
	}
	_ = level.Info(h.logger).Log("msg", msg, "change-id", req.ChangeID, "revision", answer.Revision, "repeated", answer.Repeated)
}

func (h *handler) explainModel(c iris.Context) {
	explanation, err := h.ops.ExplainModel(laburnumlever.ModelName(c.Params().Get("name")))
	h.writeResult(c, explanation, err)
}

func (h *handler) explainRequest(c iris.Context) {
	explanation, err := h.ops.ExplainRequest(c.Params().Get("id"))
	h.writeResult(c, explanation, err)
}

// LogLevel is the body of a request to change the log level.
type LogLevel struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

func (h *handler) setLogLevel(c iris.Context) {
	var req LogLevel
	if err := readBody(c, &req); err != nil {
		h.writeResult(c, nil, err)
		return
	}
	h.writeResult(c, req, h.ops.SetLogLevel(req.Level))
}

// readBody decodes a request's body. An unknown key is an error, since a misspelt key
// would otherwise silently drop a part of the change.
func readBody(c iris.Context, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &BadRequestError{Detail: errors.UnwrapAll(err).Error()}
	}
	return nil
}

func (h *handler) writeResult(c iris.Context, body any, err error) {
	if err == nil {
		h.writeJSON(c, http.StatusOK, body)
		return
	}
	status, wire := encodeError(err)
	h.writeJSON(c, status, ErrorBody{Error: wire})
}

func (h *handler) writeJSON(c iris.Context, status int, body any) {
	c.StatusCode(status)
	c.ContentType("application/json")
	encoder := json.NewEncoder(c.ResponseWriter())
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		_ = level.Debug(h.logger).Log("msg", "response not written", "err", err)
	}
}
