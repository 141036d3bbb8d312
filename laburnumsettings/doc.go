// Package laburnumsettings reads and validates settings and catalogue files: strict JSON
// with comments and kebab-case keys. It reports all faults of a file at once, each with
// its file, line, key and the expected value.
//
// Reading has two steps. The first decodes the file into the Go struct and reports
// unknown, repeated and missing keys and wrong types and units. The second validates
// the values: dangling references, duplicates, invalid addresses and sizes out of
// range. The second step runs even if the first found faults, so that one run reports
// everything, but skips keys that the first step has reported.
//
// # Usage
//
//	settings, err := laburnumsettings.Load("rennes-a-1.jsonc")
//	catalogue, err := laburnumsettings.LoadCatalogue("catalogue/")
//
// The check of a catalogue received over the network reports the same faults without
// file and line:
//
//	faults := laburnumsettings.CheckCatalogue(catalogue)
//
// Diff shows what applying a catalogue would change:
//
//	for _, change := range laburnumsettings.Diff(current, next) {
//		fmt.Println(change)
//	}
package laburnumsettings
