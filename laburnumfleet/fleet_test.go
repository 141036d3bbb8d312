package laburnumfleet_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumfleet"
	"laburnumlever/laburnumload"
)

// Guards against example experiments that the example fleets can't run.
func TestExampleFleetsMatchCataloguesAndExperiments(t *testing.T) {
	for name, engines := range map[string]int{"armor-pose": 20, "kvooditalitus": 10} {
		t.Run(name, func(t *testing.T) {
			spec, catalogue, err := laburnumfleet.Load(filepath.Join("..", "examples", name, "fleet.jsonc"))
			require.NoError(t, err)
			require.Len(t, spec.VMs, 6)
			count := 0
			for _, engine := range spec.Engines {
				require.Contains(t, catalogue.Deployment.Zones, engine.Zone)
				count += engine.Count
			}
			require.Equal(t, engines, count)
			files, err := filepath.Glob(filepath.Join("..", "examples", "experiments", name+"-*.jsonc"))
			require.NoError(t, err)
			require.Len(t, files, 7)
			for _, file := range files {
				experiment, err := laburnumload.Load(file)
				require.NoError(t, err)
				for _, entry := range experiment.Mix {
					for _, model := range entry.Models {
						_, found := catalogue.Model(model)
						require.True(t, found, "%s: %s", file, model)
					}
					if entry.Service != "" {
						_, found := catalogue.Service(entry.Service)
						require.True(t, found, "%s: %s", file, entry.Service)
					}
				}
			}
		})
	}
}

// Guards against a graceful shutdown that cuts answers off, or lets a resent booking run twice.
func TestDrainDuringBurstLosesNoAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, catalogue, err := laburnumfleet.Load(filepath.Join("..", "examples", "armor-pose", "fleet.jsonc"))
	require.NoError(t, err)
	catalogue.Deployment.Zones = []laburnumlever.ZoneName{"brest"}
	catalogue.Deployment.EntryVMs = 2
	catalogue.Models = catalogue.Models[:1]
	fleet, err := laburnumfleet.Start(ctx, laburnumfleet.Spec{
		VMs: []laburnumfleet.VMSpec{{VM: "brest-1", Zone: "brest", Disk: true}, {VM: "brest-2", Zone: "brest"}},
		Engines: []laburnumfleet.EngineSpec{{
			Name: "engine", Zone: "brest", Count: 1, AcceleratorsMiB: []int{24576}, Slots: 16,
			PrefillTokensPerSecond: 20000, TokensPerSecond: 2000, ChecksFencing: true,
		}},
		Services: []laburnumfleet.ServiceSpec{{Service: "booking", Zone: "brest", Count: 1, Slots: 16}},
	}, catalogue)
	require.NoError(t, err)
	defer fleet.Close()
	revision, err := fleet.Apply(ctx)
	require.NoError(t, err)
	require.NoError(t, fleet.AwaitLoaded(ctx, revision))

	report, err := laburnumload.NewRunner(fleet.OperatorsAddresses(), laburnumload.WithEventHandler(fleet)).Run(ctx, laburnumload.Experiment{
		Name: "drain", Seed: 7, Timeout: laburnumlever.Duration(20 * time.Second),
		Phases: []laburnumload.Phase{{Duration: laburnumlever.Duration(4 * time.Second), RequestsPerSecond: 40, Shape: laburnumload.ShapeBurst, BurstSize: 8}},
		Mix: []laburnumload.Entry{
			{Name: "quotes", Share: 4, Models: []laburnumlever.ModelName{catalogue.Models[0].Name}, Stream: true},
			{Name: "visits", Share: 1, Service: "booking", Path: "/visits", Keyed: true, Resend: 0.5},
		},
		Events: []laburnumload.Event{{At: laburnumlever.Duration(time.Second), Action: laburnumload.ActionStopVM, Name: "brest-2"}},
	})
	require.NoError(t, err)
	require.Empty(t, report.Broken)
	require.Zero(t, report.Lost)
	require.Positive(t, report.Whole)
	require.Equal(t, report.Sent, report.Whole+report.Refused)
	require.Zero(t, fleet.Violations())
	require.Len(t, fleet.OperatorsAddresses(), 1)
}
