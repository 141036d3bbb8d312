// Package laburnumexplain analyses logs. It builds the timeline of one request from the lines of
// several processes and names the cause of its outcome, or counts requests by outcome, model, time
// window and cause.
//
// # Usage
//
//	lines, skipped := laburnumexplain.Read(file)
//	timeline, err := laburnumexplain.NewTimeline("9c41d07be2a35f68", lines)
//	for _, text := range timeline.Text() { … }
//
//	var reader laburnumexplain.DayReader
//	skipped, err := reader.Read(log) // of each VM
//	day, err := reader.Day(laburnumexplain.DefaultWidth)
//	err = day.WriteText(os.Stdout, 3)
//
// Lines without a JSON object are skipped and counted, since a log may be cut in the middle of a
// line. A prefix before the object, such as that of a log collector, is ignored.
package laburnumexplain
