package main

import (
	"io"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"laburnumlever"
)

// levelLogger drops lines below its level, which can be changed concurrently.
type levelLogger struct {
	out     log.Logger
	current atomic.Pointer[filteredLogger]
}

// filteredLogger wraps the interface, since an atomic.Pointer needs a concrete type.
type filteredLogger struct{ log.Logger }

func newLevelLogger(w io.Writer, name string) (*levelLogger, error) {
	l := &levelLogger{out: log.With(log.NewLogfmtLogger(log.NewSyncWriter(w)), "ts", log.DefaultTimestampUTC)}
	return l, l.set(name)
}

// Log logs a line if it is at or above the level.
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
