package laburnumfleet_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumfleet"
	"laburnumlever/laburnumload"
)

// The sample fleets and experiments must stay runnable together: every model,
// service and zone that they name is in the catalogue, and every name of an event is
// in the fleet.
func TestExamplesFitTogether(t *testing.T) {
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
			require.Len(t, files, 6)
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
