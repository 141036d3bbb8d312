package laburnumexplain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumexplain"
)

const logs = `{"ts":"2026-10-27T08:26:40.1Z","vm":"core-a","level":"info","event":"model-withdrawn","backend":"i-1","model":"m0","cause":"makes room"}
{"ts":"2026-10-27T08:26:40.2Z","vm":"core-a","level":"info","event":"model-withdrawn","backend":"i-9","model":"m7","cause":"makes room"}
not an event
12.5 front-a {"ts":"2026-10-27T08:26:41Z","vm":"front-a","event":"attempt-failed","request-id":"r-1","backend":"i-1","stage":"not-run","reason":"no-backend","cause":"status 421"}
{"ts":"2026-10-27T08:26:41.5Z","vm":"front-a","event":"request-refused","request-id":"r-1","reason":"no-backend","status":503,"model":"m0","cause":"no engine holds the model"}
{"ts":"2026-10-27T08:26:42Z","vm":"front-b","event":"request-served","request-id":"r-2","first-ms":24,"pause-ms":60,"whole-ms":310}
{"ts":"2026-10-27T08:26:4`

// Guards against a timeline that leaves out the cause of a refusal because another VM logged it.
func TestTimelineOfRefusedRequestShowsCause(t *testing.T) {
	lines, skipped, err := laburnumexplain.Read(strings.NewReader(logs))
	require.NoError(t, err)
	require.Equal(t, 2, skipped)
	timeline, err := laburnumexplain.NewTimeline("r-1", lines)
	require.NoError(t, err)
	text := strings.Join(timeline.Text(), "\n")
	require.Contains(t, text, "cause: no backend server could serve it")
	require.Contains(t, text, "model-withdrawn")
	require.NotContains(t, text, "m7")
	require.NotContains(t, text, "r-2")
	require.Less(t, strings.Index(text, "model-withdrawn"), strings.Index(text, "attempt-failed"))
}

func TestServedAndUnknownRequests(t *testing.T) {
	lines, _, err := laburnumexplain.Read(strings.NewReader(logs))
	require.NoError(t, err)
	timeline, err := laburnumexplain.NewTimeline("r-2", lines)
	require.NoError(t, err)
	require.Contains(t, timeline.Cause, "first part after 24 ms")
	_, err = laburnumexplain.NewTimeline("r-3", lines)
	require.Error(t, err)
}

// Guards against models that count as not held because layout lines only count those held by a single engine.
func TestUnlistedModelsCountAsHeldByOneEngine(t *testing.T) {
	var reader laburnumexplain.DayReader
	_, err := reader.Read(strings.NewReader(`{"ts":"2026-10-27T08:00:00Z","vm":"core-a","event":"layout","service":"s","room":0,"held":{"oak":3},"loading":{"elm":1},"one":7,"none":["ash"]}
{"ts":"2026-10-27T08:00:01Z","vm":"front-a","event":"request-refused","model":"oak","reason":"queue-full","status":503,"touched":false}
{"ts":"2026-10-27T08:00:01Z","vm":"front-a","event":"request-refused","model":"elm","reason":"no-backend","status":503,"touched":false}
{"ts":"2026-10-27T08:00:01Z","vm":"front-a","event":"request-refused","model":"ash","reason":"no-backend","status":503,"touched":false}
{"ts":"2026-10-27T08:00:01Z","vm":"front-a","event":"request-refused","model":"fir","reason":"queue-full","status":503,"touched":false}
{"ts":"2026-10-27T08:00:01Z","vm":"front-a","event":"request-refused","model":"","route":"slots","reason":"queue-full","status":503,"touched":false}
`))
	require.NoError(t, err)
	day, err := reader.Day(laburnumexplain.DefaultWidth)
	require.NoError(t, err)
	require.Equal(t, map[string]laburnumexplain.Layout{
		"oak": {Held: 3, Known: true}, "elm": {Loading: 1, Known: true}, "ash": {Known: true}, "fir": {Held: 1, Known: true},
	}, day.Windows[0].Layouts)
}

func TestDayRequiresGatewayLogs(t *testing.T) {
	var reader laburnumexplain.DayReader
	_, err := reader.Read(strings.NewReader(`{"ts":"2026-10-27T08:00:00Z","vm":"core-a","event":"layout","service":"s","held":{}}`))
	require.NoError(t, err)
	_, err = reader.Day(laburnumexplain.DefaultWidth)
	require.ErrorContains(t, err, "name the logs of gateways")
}

// Guards against a crashing request whose earlier attempts, with other ids on other gateways, are missing from its timeline.
func TestTimelineShowsOtherAttemptsAtTheSameRequest(t *testing.T) {
	lines, _, err := laburnumexplain.Read(strings.NewReader(
		`{"ts":"2026-10-27T08:26:40Z","vm":"front-a","event":"attempt-failed","request-id":"r-1","backend":"i-1","stage":"unknown","begun":true,"digest":"aa"}
{"ts":"2026-10-27T08:26:41Z","vm":"front-b","event":"attempt-failed","request-id":"r-2","backend":"i-2","stage":"unknown","begun":true,"digest":"bb"}
{"ts":"2026-10-27T08:26:50Z","vm":"front-c","event":"attempt-failed","request-id":"r-3","backend":"i-3","stage":"unknown","begun":true,"digest":"aa"}
`))
	require.NoError(t, err)
	timeline, err := laburnumexplain.NewTimeline("r-3", lines)
	require.NoError(t, err)
	text := strings.Join(timeline.Text(), "\n")
	require.Contains(t, text, "i-1")
	require.NotContains(t, text, "i-2")
}

// Guards against a refusal for a part of the prompt whose timeline doesn't show which servers crashed under the part.
func TestTimelineShowsTheRefusedPart(t *testing.T) {
	lines, _, err := laburnumexplain.Read(strings.NewReader(
		`{"ts":"2026-10-27T08:20:00Z","vm":"core-a","event":"part-quarantined","part":"5c1e07a2","service":"devis","crashes":3,"backends":["i-1","i-2","i-3"]}
{"ts":"2026-10-27T08:20:00Z","vm":"core-a","event":"part-quarantined","part":"91bd3f06","service":"devis","crashes":3,"backends":["i-4"]}
{"ts":"2026-10-27T08:26:50Z","vm":"front-c","event":"request-refused","request-id":"r-3","reason":"part-quarantined","parts":["aa","5c1e07a2"],"cause":"refused"}
`))
	require.NoError(t, err)
	timeline, err := laburnumexplain.NewTimeline("r-3", lines)
	require.NoError(t, err)
	require.Contains(t, timeline.Cause, "part of its prompt")
	text := strings.Join(timeline.Text(), "\n")
	require.Contains(t, text, "i-3")
	require.NotContains(t, text, "i-4")
}
