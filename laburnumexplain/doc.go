// Package laburnumexplain explains from logs what became of a request, and where requests were
// lost. It joins the lines of several processes into one timeline and names the cause, or
// counts how requests ended by model, time window and cause.
//
// # Usage
//
//	lines, skipped := laburnumexplain.Read(file)
//	story, err := laburnumexplain.Request("9c41d07be2a35f68", lines)
//	for _, text := range story.Text() { … }
//
//	var reader laburnumexplain.DayReader
//	skipped, err := reader.Read(log) // of each VM
//	day, err := reader.Day(laburnumexplain.DefaultWidth)
//	err = day.WriteText(os.Stdout, 3)
//
// Lines without a JSON object are skipped and counted: a log may be cut in the middle of a
// line. A collector's prefix before the object is ignored.
package laburnumexplain
