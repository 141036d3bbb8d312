package laburnumstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"laburnumlever"

	"github.com/go-kit/log/level"
)

// The paths of an entry VM's backends listener.
const (
	announcePath = "/backend/announce"
	reportPath   = "/backend/report"
	leavePath    = "/backend/leave"
)

// messageQueueSize has room for two announcements and two reports, which can fall due at once.
const messageQueueSize = 4

// LeaveNotice is the body of POST /backend/leave.
type LeaveNotice struct {
	Backend     laburnumlever.BackendID `json:"backend"`
	Incarnation uint64                  `json:"incarnation"`
}

// announcer sends a backend server's announcements and load reports to every
// registry. Each registry has its own goroutine and queue, so that an unresponsive
// registry does not delay the others.
type announcer struct {
	cfg          config
	announce     func() laburnumlever.Announcement
	report       func() laburnumlever.LoadReport
	ctx          context.Context
	cancel       context.CancelFunc
	timerCancels []func()
	queues       []chan message
}

type message struct {
	path string
	body any
}

func newAnnouncer(cfg config, announce func() laburnumlever.Announcement, report func() laburnumlever.LoadReport) *announcer {
	a := &announcer{cfg: cfg, announce: announce, report: report}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

func (a *announcer) start() {
	for _, address := range a.cfg.registries {
		queue := make(chan message, messageQueueSize)
		a.queues = append(a.queues, queue)
		go a.sendLoop(address, queue)
	}
	a.enqueue(announcePath, a.announce())
	a.timerCancels = append(a.timerCancels,
		a.cfg.timers.Every(a.cfg.announcePeriod, func(time.Time) { a.enqueue(announcePath, a.announce()) }),
		a.cfg.timers.Every(a.cfg.reportPeriod, func(time.Time) { a.enqueue(reportPath, a.report()) }))
}

func (a *announcer) stop() {
	for _, cancel := range a.timerCancels {
		cancel()
	}
	a.cancel()
}

// leave tells every registry that the backend server leaves. It stops the periodic
// announcements first: one sent after the leave would register the server again.
func (a *announcer) leave() {
	for _, cancel := range a.timerCancels {
		cancel()
	}
	own := a.announce()
	body := LeaveNotice{Backend: own.Backend, Incarnation: own.Incarnation}
	for _, address := range a.cfg.registries {
		a.send(address, message{path: leavePath, body: body})
	}
}

// enqueue queues a message for each registry. If a registry's queue is full, the
// message is dropped for it, as a lossy network would.
func (a *announcer) enqueue(path string, body any) {
	for _, queue := range a.queues {
		select {
		case queue <- message{path: path, body: body}:
		default:
		}
	}
}

func (a *announcer) sendLoop(address string, queue chan message) {
	for {
		select {
		case <-a.ctx.Done():
			return
		case p := <-queue:
			a.send(address, p)
		}
	}
}

func (a *announcer) send(address string, p message) {
	if err := a.post(address, p); err != nil {
		_ = level.Debug(a.cfg.logger).Log("event", laburnumlever.EventRegistryRefused, "err", err)
	}
}

func (a *announcer) post(address string, p message) error {
	body, err := json.Marshal(p.body)
	if err != nil {
		return &RegistryError{Address: address, Cause: err}
	}
	ctx, cancel := context.WithTimeout(a.ctx, sendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+p.path, bytes.NewReader(body))
	if err != nil {
		return &RegistryError{Address: address, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return &RegistryError{Address: address, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		return &RegistryError{Address: address, Status: res.StatusCode}
	}
	return nil
}
