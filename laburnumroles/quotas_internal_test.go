package laburnumroles

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

// Guards against restarted control VMs that each grant the whole quota until they have heard of the others.
func TestStartedControlVMSharesQuotasWithTheVoters(t *testing.T) {
	second := laburnumlever.Duration(1e9)
	c, err := NewControl(laburnumsettings.RoleSettings{
		VM: "127.0.0.1", Zone: "brest", PeerPort: 7600, Seeds: []string{"127.0.0.1:7601", "127.0.0.2:7601", "127.0.0.3:7601"},
		DataFolder: t.TempDir(), FirstStart: true,
		Times: laburnumsettings.RoleTimes{Heartbeat: second, Lease: 3 * second},
		Quota: laburnumsettings.RoleQuota{Overshoot: 0.1, Window: 8 * second}, Log: laburnumsettings.Log{Level: "info"},
	}, nil, nil)
	require.NoError(t, err)
	quota := laburnumlever.Quota{Rate: 300, Burst: 300}
	c.quotas.setRoutes(laburnumlever.RouteTable{Version: 1}.WithAccounts(nil, []laburnumlever.Account{{Name: "acme", Quota: quota}}))
	usage := c.quotas.status()
	require.Len(t, usage, 1)
	require.Less(t, usage[0].Rate, quota.Rate/2)
	require.NoError(t, c.voter.Close())
}
