// Package laburnumsettings reads and checks settings and catalogue files: JSON
// with comments, kebab case, strict. All faults of a file are listed at once, each
// with its file, line, key and what would be right.
//
// # Usage
//
//	settings, err := laburnumsettings.Load("rennes-a-1.jsonc")
//	catalogue, err := laburnumsettings.LoadCatalogue("catalogue/")
package laburnumsettings
