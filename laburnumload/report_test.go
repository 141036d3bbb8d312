package laburnumload_test

import (
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumload"
)

func sample() laburnumload.Report {
	return laburnumload.Report{
		Experiment: "sample", Duration: seconds(2), Sent: 10, Whole: 8, Refused: 1, Lost: 1,
		Attained: 6, AttainedPerSecond: 3, Accelerators: 2, PerAccelerator: 1.5, Moves: 4,
		FirstToken: laburnumload.Latency{Count: 8, P50: laburnumlever.Duration(200 * time.Millisecond), P95: seconds(1)},
		Classes:    []laburnumload.Group{{Name: "quote", Sent: 10, Attained: 6, Attainment: 0.6}},
		Refusals:   []laburnumload.Count{{Name: "queue-full", Count: 1}},
		Broken:     []string{"key visit-1 ran 2 times"},
		Seconds:    []laburnumload.Second{{Sent: 4, Whole: 4}, {Sent: 6, Whole: 4, Refused: 1, Lost: 1}},
	}
}

func TestReportListsBrokenPromises(t *testing.T) {
	var text strings.Builder
	require.NoError(t, sample().WriteText(&text))
	for _, line := range []string{
		"sent 10: whole 8, refused 1, lost 1; sent late by the tool 0",
		"attained 6, 3.0 a second, 1.500 a second for each of 2 accelerators; moves 4",
		"class quote: attainment 60.0% of 10, first token p95 0s",
		"refused queue-full: 1",
		"broken promises: 1\n  key visit-1 ran 2 times",
	} {
		require.Contains(t, text.String(), line+"\n")
	}
	var broken *laburnumload.BrokenPromiseError
	require.ErrorAs(t, sample().Err(), &broken)
	require.NoError(t, laburnumload.Report{}.Err())
}

func TestPlotIsWellFormed(t *testing.T) {
	var svg strings.Builder
	require.NoError(t, sample().WriteSVG(&svg))
	decoder := xml.NewDecoder(strings.NewReader(svg.String()))
	lines := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "polyline" {
			lines++
		}
	}
	require.Equal(t, 5, lines)
}

func TestReadReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "report.json")
	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	_, err := laburnumload.ReadReport(file)
	var bad *laburnumload.ReportFileError
	require.ErrorAs(t, err, &bad)
}
