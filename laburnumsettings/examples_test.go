package laburnumsettings_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

// Operators copy the examples, so they must match what both deployments run.
func TestExamplesMatchDeployments(t *testing.T) {
	for _, tt := range []struct {
		name             string
		models, adapters int
	}{
		{name: "armor-pose", models: 30, adapters: 100},
		{name: "kvooditalitus", models: 13, adapters: 60},
	} {
		t.Run(tt.name, func(t *testing.T) {
			folder := filepath.Join("..", "examples", tt.name)
			catalogue, err := laburnumsettings.LoadCatalogue(filepath.Join(folder, "catalogue"))
			require.NoError(t, err)
			require.Equal(t, tt.name, catalogue.Deployment.Name)
			require.Len(t, catalogue.Deployment.Zones, 4)
			require.Len(t, catalogue.Models, tt.models)
			adapters := 0
			for _, model := range catalogue.Models {
				adapters += len(model.Adapters)
			}
			require.Equal(t, tt.adapters, adapters)
			require.NotEmpty(t, catalogue.Services[0].NonIdempotent)
			checkVMSettings(t, folder, catalogue)
		})
	}
}

// checkVMSettings checks for settings of six VMs that agree on the voters, with three disks
// and at least one VM in each availability zone.
func checkVMSettings(t *testing.T, folder string, catalogue laburnumlever.Catalogue) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "settings", "*.jsonc"))
	require.NoError(t, err)
	require.Len(t, files, 6)
	var voters []laburnumlever.Voter
	var zones []laburnumlever.ZoneName
	disks := 0
	for _, file := range files {
		settings, err := laburnumsettings.Load(file)
		require.NoError(t, err)
		require.Equal(t, string(settings.VM)+".jsonc", filepath.Base(file))
		zones = append(zones, settings.Zone)
		if settings.DataFolder != "" {
			disks++
			require.Contains(t, settings.Voters, laburnumlever.Voter{VM: settings.VM, PeerAddress: settings.Listen.Peers})
		}
		if voters != nil {
			require.Equal(t, voters, settings.Voters)
		}
		voters = settings.Voters
	}
	require.Equal(t, 3, disks)
	require.Subset(t, zones, catalogue.Deployment.Zones)
}
