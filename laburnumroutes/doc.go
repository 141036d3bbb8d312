// Package laburnumroutes checks route tables and finds the route of a request.
// It is pure: no network, clock or state.
//
// # Usage
//
//	err := laburnumroutes.Check(table) // *laburnumlever.RoutesInvalidError
//	index := laburnumroutes.NewIndex(table)
//	route, ok := index.Find("ficu95.example", "/quotes/today")
//	service, ok := laburnumroutes.Pick(*route, rand.Uint64())
//
// A look-up takes as many steps as the path has segments, whatever the number of routes.
package laburnumroutes
