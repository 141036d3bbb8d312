// Package laburnumexplain says, from logs alone, what became of a caller's request: it
// joins the lines of several processes into one timeline and names the cause.
//
// # Usage
//
//	lines, skipped := laburnumexplain.Read(file)
//	story, err := laburnumexplain.Request("9c41d07be2a35f68", lines)
//	for _, text := range story.Text() { … }
//
// Lines that are not JSON objects are passed over and counted: a log may be cut in the
// middle of a line. What stands before the object in a line, as a collector writes it, is
// ignored.
package laburnumexplain
