// Package laburnumexplain says, from logs alone, what became of a caller's request, and where a
// day's requests were lost: it joins the lines of several processes into one timeline and names
// the cause, or counts how requests ended by model, span of time and cause.
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
// Lines that are not JSON objects are passed over and counted: a log may be cut in the
// middle of a line. What stands before the object in a line, as a collector writes it, is
// ignored.
package laburnumexplain
