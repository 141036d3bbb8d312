package laburnumquarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumquarantine"
)

func entry(name string, state laburnumquarantine.State) []laburnumquarantine.Entry {
	return []laburnumquarantine.Entry{{Digest: digest(name), State: state}}
}

func TestRequestIsRefusedWhileAControlVMListsIt(t *testing.T) {
	l := laburnumquarantine.NewList()
	require.True(t, l.Empty())
	require.Equal(t, laburnumquarantine.Applied{Added: true, Started: true}, l.Apply("a", 1, entry("poison", quarantined), start))
	require.Equal(t, laburnumquarantine.Applied{Started: true}, l.Apply("b", 1, entry("poison", quarantined), start))
	require.Equal(t, laburnumquarantine.Applied{}, l.Apply("a", 1, entry("poison", cleared), start))
	require.Equal(t, quarantined, l.State(digest("poison"), start), "the other control VM still lists it")
	l.Apply("b", 1, entry("poison", suspect), start)
	require.Equal(t, suspect, l.State(digest("poison"), start))
	l.Apply("b", 1, entry("poison", cleared), start)
	require.True(t, l.Empty())
}

// Guards against releasing a request because control VMs that never listed it as quarantined list it as suspect.
func TestLessEvidenceElsewhereReleasesNothing(t *testing.T) {
	l := laburnumquarantine.NewList()
	l.Apply("a", 1, entry("poison", quarantined), start)
	l.Apply("a", 2, nil, start)
	l.Apply("b", 1, entry("poison", suspect), start)
	l.Apply("b", 1, entry("poison", cleared), start)
	require.Equal(t, quarantined, l.State(digest("poison"), start))
}

// Guards against a quarantine that ends because all control VMs were restarted.
func TestRestartedControlVMIsTold(t *testing.T) {
	l := laburnumquarantine.NewList()
	l.Apply("a", 1, append(entry("poison", quarantined), entry("other", suspect)...), start)
	require.Empty(t, l.Missing("a", start))
	require.Empty(t, l.Missing("b", start))
	require.True(t, l.Apply("a", 2, nil, start).Started)
	require.Equal(t, quarantined, l.State(digest("poison"), start))
	require.Equal(t, entry("poison", quarantined), l.Missing("a", start))
	l.Apply("a", 2, entry("poison", quarantined), start)
	require.Empty(t, l.Missing("a", start))
}

func TestQuarantineEndsOnAGatewayAfterRetention(t *testing.T) {
	l := laburnumquarantine.NewList()
	l.Apply("a", 1, entry("poison", quarantined), start)
	later := start.Add(laburnumquarantine.Retention)
	require.Equal(t, quarantined, l.State(digest("poison"), later))
	require.True(t, l.Refuse(digest("poison"), later))
	require.False(t, l.Refuse(digest("poison"), later.Add(time.Second)), "reported a moment ago")
	require.False(t, l.Refuse(digest("innocent"), later))
	later = later.Add(laburnumquarantine.Retention)
	require.Equal(t, quarantined, l.State(digest("poison"), later))
	require.Equal(t, cleared, l.State(digest("poison"), later.Add(2*time.Second)))
	l.Sweep(later.Add(2 * time.Second))
	require.Empty(t, l.Missing("a", later))
}
