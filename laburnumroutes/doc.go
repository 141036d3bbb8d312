// Package laburnumroutes validates route tables and finds the route of a request. It does no I/O,
// reads no clock and keeps no state between calls.
//
// # Usage
//
//	err := laburnumroutes.Check(table) // *laburnumlever.RoutesInvalidError
//	index := laburnumroutes.NewIndex(table)
//	route, ok := index.Find("ficu95.example", "/quotes/today")
//	service, ok := laburnumroutes.Pick(*route, rand.Uint64())
//
// A lookup takes at most one step for each segment of the path, whatever the number of routes.
package laburnumroutes
