package laburnumstandin

import (
	"encoding/json"
	"fmt"
	"strings"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=SeriesRoute -transform=kebab -trimprefix=Series -output=seriesroute_gen.go

// SeriesRoute is a route of the stand-in manifest whose time limit changes with each version.
type SeriesRoute int

// The routes of the series; their paths begin with their names.
const (
	// SeriesEssay is for streams that may be resumed, SeriesLetter for those that may not.
	SeriesEssay SeriesRoute = iota
	SeriesLetter
	// SeriesLook is for idempotent requests, SeriesForm for others.
	SeriesLook
	SeriesForm
	// SeriesComing is in every version but each third one. SeriesMoving is on another service in every second version.
	SeriesComing
	SeriesMoving
)

// Streams reports whether the route's answers are streams.
func (r SeriesRoute) Streams() bool { return r == SeriesEssay || r == SeriesLetter }

// Lasting reports whether the route is in all versions.
func (r SeriesRoute) Lasting() bool { return r != SeriesComing }

// The services of the routes of the series.
const (
	EssayService = "essays"
	FormService  = "forms"
	DeskService  = "desk"
)

const (
	// comingCycle is the number of versions of which one has no SeriesComing.
	comingCycle = 3
	// limitSteps is the number of values that each limit of the manifest takes.
	limitSteps                   = 4
	maxSeriesBody, idleTimeoutMS = 1 << 20, 15000
	// SeriesTimeoutMS is the shortest time limit of the routes of the series. It exceeds what a request takes on servers and
	// gateways that pause.
	SeriesTimeoutMS, timeoutStepMS = 15000, 500
)

// seriesRoutes are the routes of the series in a version of the manifest, each after a comma.
func seriesRoutes(version int) string {
	var text strings.Builder
	for _, route := range SeriesRouteValues() {
		service, kind, attempts := FormService, "idempotent", 2
		switch {
		case route == SeriesComing && version%comingCycle == 0:
			continue
		case route.Streams():
			service, kind = EssayService, "streaming"
		case route == SeriesForm:
			kind, attempts = "non_idempotent", 1
		case route == SeriesMoving && version%2 == 0:
			service = DeskService
		default:
		}
		fmt.Fprintf(&text, `,{"name":%q,"hostname":"`+platformHost+`","path_prefix":"/%[1]s/","kind":%q,"timeout_ms":%d,"target_latency_ms":300,`+
			`"priority":2,"service":%q,"max_attempts":%d,"resumable":%t}`,
			route, kind, SeriesTimeoutMS+version%limitSteps*timeoutStepMS, service, attempts, route == SeriesEssay)
	}
	return text.String()
}

// seriesServices are the services of the routes of the series.
const seriesServices = `,{"name":"` + EssayService + `","health_path":"/health","max_conns":200,"engine":` + platformEngine + `},` +
	`{"name":"` + FormService + `","health_path":"/health","max_conns":200},{"name":"` + DeskService + `","health_path":"/health","max_conns":200}`

// platformEngine describes the engines of the stand-in manifest.
const platformEngine = `{"slots":8,"kv_capacity":90000,"weights_mb":80000,"adapter_slots":2,"loads_per_s":3,` +
	`"models":[{"name":"m0","weights_mb":72700,"load_s":0.2,"warm_s":0.1,"disk_s":0.1,"adapters":0,"adapter_mb":66}]}`

// platformManifest has one route for non-idempotent requests and two for streams that can
// be resumed on another backend server, and the routes of the series.
func platformManifest(version int, accounts []PlatformAccount) []byte {
	tenants, _ := json.Marshal(accounts) //nolint:errchkjson // texts and numbers only
	return fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"confirm","hostname":"`+platformHost+`","path_prefix":"/confirm/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":"booking","max_attempts":1},`+
		`{"name":"quote","hostname":"`+platformHost+`","path_prefix":"/quote/","kind":"streaming","timeout_ms":9000,"target_latency_ms":300,"priority":1,"service":"quotes","max_attempts":2,"resumable":true,"gap_aim_ms":150},`+
		`{"name":"draft","hostname":"`+platformHost+`","path_prefix":"/draft/","kind":"streaming","timeout_ms":9000,"target_latency_ms":300,"priority":2,"service":"drafts","max_attempts":2,"resumable":true,"gap_aim_ms":150}%s%s],`+
		`"services":[{"name":"booking","health_path":"/health","max_conns":200},`+
		`{"name":"quotes","health_path":"/health","max_conns":200,"engine":`+platformEngine+`},`+
		`{"name":"drafts","health_path":"/health","max_conns":200,"engine":`+platformEngine+`}%s],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":%d},"tenants":%s}`,
		version, seriesRoutes(version), garbledRoutes(), seriesServices+garbledServices, maxSeriesBody+version%limitSteps, idleTimeoutMS+version%limitSteps, tenants)
}
