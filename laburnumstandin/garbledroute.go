package laburnumstandin

import (
	"fmt"
	"strings"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=GarbledRoute -transform=kebab -trimprefix=Garbled -output=garbledroute_gen.go

// GarbledRoute is a route of the stand-in manifest to servers that spoil answers and have no other fault.
type GarbledRoute int

// The routes; their paths begin with their names.
const (
	// GarbledReport is for streams that may be resumed, GarbledMemo for those that may not.
	GarbledReport GarbledRoute = iota
	GarbledMemo
	// GarbledPrice is for idempotent requests, GarbledOrder for others.
	GarbledPrice
	GarbledOrder
)

// The services of these routes.
const (
	ReportService = "reports"
	PriceService  = "prices"
)

// Streams reports whether the route's answers are streams.
func (r GarbledRoute) Streams() bool { return r == GarbledReport || r == GarbledMemo }

// garbledServices are the services of these routes, each after a comma.
const garbledServices = `,{"name":"` + ReportService + `","health_path":"/health","max_conns":200,"engine":` + platformEngine + `},` +
	`{"name":"` + PriceService + `","health_path":"/health","max_conns":200}`

// garbledRoutes are the routes, each after a comma.
func garbledRoutes() string {
	var text strings.Builder
	for _, route := range GarbledRouteValues() {
		service, kind, attempts := PriceService, "idempotent", 2
		switch {
		case route.Streams():
			service, kind = ReportService, "streaming"
		case route == GarbledOrder:
			kind, attempts = "non_idempotent", 1
		default:
		}
		fmt.Fprintf(&text, `,{"name":%q,"hostname":"`+platformHost+`","path_prefix":"/%[1]s/","kind":%q,"timeout_ms":9000,"target_latency_ms":300,`+
			`"priority":2,"service":%q,"max_attempts":%d,"resumable":%t}`, route, kind, service, attempts, route == GarbledReport)
	}
	return text.String()
}
