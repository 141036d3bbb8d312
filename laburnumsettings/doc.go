// Package laburnumsettings reads and checks settings and catalogue files: JSON
// with comments, kebab case, strict. All faults of a file are listed at once, each
// with its file, line, key and what would be right.
//
// Reading has two steps. The first decodes the file against the Go struct and
// notes what has no place there: unknown and repeated keys, missing keys, wrong
// types and units. The second checks what the values mean together: names that
// refer to nothing, duplicates, addresses that do not parse, sizes out of range.
// The second step runs even if the first found faults, so that one run shows
// everything; it stays silent about keys that the first step has reported.
//
// # Usage
//
//	settings, err := laburnumsettings.Load("rennes-a-1.jsonc")
//	catalogue, err := laburnumsettings.LoadCatalogue("catalogue/")
//
// A catalogue that came over the network has no file; its check gives the same
// faults without file and line:
//
//	faults := laburnumsettings.CheckCatalogue(catalogue)
//
// What an apply would change is the difference of two catalogues:
//
//	for _, change := range laburnumsettings.Diff(current, next) {
//		fmt.Println(change)
//	}
package laburnumsettings
