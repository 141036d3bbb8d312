// Package laburnumlogging writes a process's log: one JSON object a line, bounded, and
// never in the way of the work.
//
// Who logs only puts the line into a buffer; a goroutine of its own writes it out. When
// the output does not take the lines as fast as they come, or at all, the buffer fills.
// Then lines about requests that went well are dropped first, and lines of any kind only
// when there is no room left; what was dropped is counted by event, and said in one line
// once there is room again.
//
// JSON was chosen over logfmt since values hold lists and quoted causes, which JSON
// readers take apart without guessing.
//
// # Usage
//
//	logger, err := laburnumlogging.New(os.Stdout, "info")
//	defer logger.Close()
//	named := log.With(logger, "vm", name)
//	level.Info(named).Log("event", laburnumlever.EventStarted)
//	err = logger.SetLevel("debug")
package laburnumlogging
