// Package laburnumlogging writes a process's log, one JSON object per line, without
// blocking the callers and with bounded memory.
//
// Log appends the line to a buffer, and a separate goroutine writes it to the output. If
// the output is slow or blocked, the buffer fills up. Lines about successful operations
// are dropped once half of the buffer is used, lines of any kind once it is full. Dropped
// lines are counted by event, and one line with the counts follows once the output
// accepts lines again.
//
// The format is JSON rather than logfmt since values include lists and quoted causes,
// which JSON parsers decode unambiguously.
//
// # Usage
//
//	logger, err := laburnumlogging.New(os.Stdout, "info")
//	defer logger.Close()
//	named := log.With(logger, "vm", name)
//	level.Info(named).Log("event", laburnumlever.EventStarted)
//	err = logger.SetLevel("debug")
package laburnumlogging
