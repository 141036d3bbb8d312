package main

import (
	"io"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"laburnumlever"
)

// levelLogger drops what is below its level, which can change while it is used.
type levelLogger struct {
	out     log.Logger
	current atomic.Pointer[filteredLogger]
}

// filteredLogger holds a logger, since an atomic pointer can't hold an interface.
type filteredLogger struct{ log.Logger }

func newLevelLogger(w io.Writer, name string) (*levelLogger, error) {
	l := &levelLogger{out: log.With(log.NewLogfmtLogger(log.NewSyncWriter(w)), "ts", log.DefaultTimestampUTC)}
	return l, l.set(name)
}

// Log passes on what is at or above the level.
func (l *levelLogger) Log(keyvals ...any) error { return l.current.Load().Log(keyvals...) }

func (l *levelLogger) set(name string) error {
	var option level.Option
	switch name {
	case "debug":
		option = level.AllowDebug()
	case "info":
		option = level.AllowInfo()
	case "warn":
		option = level.AllowWarn()
	case "error":
		option = level.AllowError()
	default:
		return &laburnumlever.InvalidValueError{Name: "level", Value: name, Want: "debug, info, warn or error"}
	}
	l.current.Store(&filteredLogger{Logger: level.NewFilter(l.out, option)})
	return nil
}
