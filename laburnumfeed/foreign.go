package laburnumfeed

import (
	"encoding/json"
	"sync"

	"laburnumlever"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// maxForeignKinds bounds the sources and reasons of which it is noted that they were logged.
const maxForeignKinds = 1024

// ForeignEntries counts entries that another writer has written and that name no backend server to use, and logs them
// once a source and reason. It is safe for concurrent use; the zero value only drops them.
type ForeignEntries struct {
	logger  log.Logger
	counter tally.Counter

	mu     sync.Mutex
	logged map[foreignKind]struct{}
}

type foreignKind struct{ source, reason string }

// NewForeignEntries returns a counter without entries.
func NewForeignEntries(logger log.Logger, scope tally.Scope) *ForeignEntries {
	return &ForeignEntries{logger: logger, counter: scope.Counter("foreign_entries"), logged: map[foreignKind]struct{}{}}
}

// Note counts an entry from a source.
func (f *ForeignEntries) Note(source string, cause error) {
	if f == nil || f.logger == nil {
		return
	}
	f.counter.Inc(1)
	kind := foreignKind{source: source, reason: cause.Error()}
	f.mu.Lock()
	_, known := f.logged[kind]
	if !known && len(f.logged) < maxForeignKinds {
		f.logged[kind] = struct{}{}
	}
	known = known || len(f.logged) >= maxForeignKinds
	f.mu.Unlock()
	if !known {
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventForeignEntry, "source", source, "cause", cause)
	}
}

// DecodeEntries decodes a JSON list entry by entry: add decodes one. It returns why entries were left out; the others hold.
func DecodeEntries(list json.RawMessage, add func(entry json.RawMessage) error) []error {
	if len(list) == 0 {
		return nil
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(list, &entries); err != nil {
		return []error{err}
	}
	var unreadable []error
	for _, entry := range entries {
		if err := add(entry); err != nil {
			unreadable = append(unreadable, err)
		}
	}
	return unreadable
}
