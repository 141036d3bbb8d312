package laburnumrevocation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumrevocation"
)

const limit = 5 * time.Second

func confirmation(version uint64, asOf time.Duration) laburnumrevocation.Confirmation {
	return laburnumrevocation.Confirmation{Version: version, AsOf: asOf}
}

// Guards against keys accepted by a VM that has never heard whether its table is the newest.
func TestTableWithoutConfirmationIsNotAccepted(t *testing.T) {
	v := laburnumrevocation.NewView(limit)
	v.SetVersion(3)
	require.False(t, v.Accepts(time.Second))
	v.Confirm(confirmation(3, time.Second))
	require.True(t, v.Accepts(2*time.Second))
	require.False(t, v.Accepts(6*time.Second))
}

// Guards against a table that counts as current although a newer one, which may revoke a key, was announced.
func TestConfirmationOfANewerTableCountsOnceItIsInEffect(t *testing.T) {
	v := laburnumrevocation.NewView(limit)
	v.SetVersion(3)
	v.Confirm(confirmation(3, 0))
	v.Confirm(confirmation(4, 4*time.Second))
	require.False(t, v.Accepts(6*time.Second))
	v.SetVersion(4)
	require.True(t, v.Accepts(6*time.Second))
}

// Guards against a late answer that makes a VM's knowledge older.
func TestLateConfirmationIsIgnored(t *testing.T) {
	v := laburnumrevocation.NewView(limit)
	v.SetVersion(3)
	v.Confirm(confirmation(3, 4*time.Second))
	v.Confirm(confirmation(3, time.Second))
	v.Confirm(confirmation(2, 2*time.Second))
	require.True(t, v.Accepts(8*time.Second))
}

// Guards against a cut-off VM of a deployment without a strict bound that stops serving.
func TestWithoutALimitATableIsAlwaysAccepted(t *testing.T) {
	require.True(t, laburnumrevocation.NewView(0).Accepts(time.Hour))
}

// vm is a VM of the model, whose clock shows another time than those of the others.
type vm struct{ offset time.Duration }

func (m vm) clock(now time.Duration) time.Duration { return now + m.offset }

// Guards against a revoked key that is accepted after the limit because a confirmation was delayed, frozen or cached.
func TestRevokedKeyIsRefusedInTimeWhateverTheDelays(t *testing.T) {
	gateway, control, leader := vm{17 * time.Second}, vm{-3 * time.Second}, vm{400 * time.Second}
	delays := []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 7 * time.Second}
	const steps = 8
	var d [steps]time.Duration
	accepted := 0
	check := func() {
		for acked := time.Duration(0); acked <= 30*time.Second; acked += time.Second {
			now := time.Duration(0)
			leaderAsked := leader.clock(now)
			revoked := acked <= now // the log has it before the entry that the leader proposes
			now += d[0]             // commit, while the leader's answer is kept
			now += d[1]
			controlAsked := control.clock(now)
			now += d[2] // on the way to the leader
			age := leader.clock(now) - leaderAsked
			now += d[3] // on the way back, while the control VM is frozen, while its answer is kept
			now += d[4]
			gatewayAsked := gateway.clock(now)
			now += d[5]
			age = control.clock(now) - (controlAsked - age)
			now += d[6]
			v := laburnumrevocation.NewView(limit)
			v.SetVersion(1)
			version := uint64(1)
			if revoked {
				version = 2
			}
			v.Confirm(confirmation(version, gatewayAsked-age))
			now += d[7]
			if v.Accepts(gateway.clock(now)) {
				accepted++
				require.Less(t, now-acked, limit, "acknowledged at %v, accepted at %v, delays %v", acked, now, d)
			}
		}
	}
	var choose func(i int)
	choose = func(i int) {
		if i == steps {
			check()
			return
		}
		for _, d[i] = range delays {
			choose(i + 1)
		}
	}
	choose(0)
	require.Positive(t, accepted)
}

// Guards against a key looked up in a table that was replaced meanwhile by one that revokes it.
func TestReplacedTableIsNotAccepted(t *testing.T) {
	v := laburnumrevocation.NewView(limit)
	v.SetVersion(3)
	v.Confirm(confirmation(4, time.Second))
	require.False(t, v.AcceptsVersion(3, time.Second))
	v.SetVersion(4)
	require.False(t, v.AcceptsVersion(3, time.Second))
	require.True(t, v.AcceptsVersion(4, time.Second))
}

// Guards against a held answer that clocks of different speed make seem later than its confirmation.
func TestHeldConfirmationIsNeverToldAsLaterThanItIs(t *testing.T) {
	asked, held := 10*time.Second, 3*time.Second
	age := confirmation(1, asked+held).AgeAt(asked)
	require.Negative(t, age)
	require.Less(t, -age, held-held/50)
	require.Equal(t, time.Second, confirmation(1, asked-time.Second).AgeAt(asked))
}
