package laburnumroles

import (
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnumendpoints"
	"laburnumlever/laburnumstream"
	"laburnumlever/laburnumtimer"
)

// listFixture is the version list of a control VM that restarts.
type listFixture struct {
	t         *testing.T
	folder    string
	timers    *laburnumtimer.Manual
	start     uint64
	known     servicesVersions
	complete  bool
	confirmed bool
}

func newListFixture(t *testing.T) *listFixture {
	return &listFixture{t: t, folder: t.TempDir(), timers: laburnumtimer.NewManual(time.Unix(1_790_000_000, 0)), confirmed: true}
}

// restart starts the VM, which knows versions by heartbeats only from then on.
func (f *listFixture) restart(first bool) *versionList {
	f.start++
	f.known = servicesVersions{}
	l := &versionList{
		store: laburnumendpoints.New(f.folder), saves: &saves{}, timers: f.timers, logger: log.NewNopLogger(), controls: threeControls,
		start: func() uint64 { return f.start }, known: func() servicesVersions { return maps.Clone(f.known) },
		complete: func() bool { return f.complete }, confirmed: func() bool { return f.confirmed },
	}
	l.load(first)
	f.save(l)
	return l
}

// save saves the list and waits until it has been.
func (f *listFixture) save(l *versionList) {
	l.save()
	require.Eventually(f.t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.saving
	}, 10*time.Second, time.Millisecond)
}

// hear has the VM know a version by a heartbeat.
func (f *listFixture) hear(l *versionList, software laburnumlever.SoftwareVersion) {
	f.known["quotes"] = append(f.known["quotes"], software)
	l.note(laburnumlever.Heartbeat{Service: "quotes", Software: software})
	f.save(l)
}

func (f *listFixture) versions(l *versionList) []laburnumlever.SoftwareVersion {
	return l.with("quotes", f.known["quotes"], f.timers.Now())
}

// Guards against versions that a control VM forgets over restarts, or tells for ever.
func TestVersionsAreToldOverRestarts(t *testing.T) {
	f := newListFixture(t)
	l := f.restart(true)
	require.True(t, l.isRetained())
	f.hear(l, "v1")
	f.hear(l, "v2")
	l = f.restart(false)
	require.True(t, l.isRetained())
	require.Equal(t, []laburnumlever.SoftwareVersion{"v1", "v2"}, f.versions(l))
	f.hear(l, "v3")
	l = f.restart(false)
	require.Equal(t, []laburnumlever.SoftwareVersion{"v1", "v2", "v3"}, f.versions(l), "before two restarts")
	f.timers.Advance(laburnumstream.Life)
	require.Empty(t, f.versions(l))
	require.Equal(t, 3, l.controlCount())
}

// Guards against a control VM that counts as sure of all versions though its list lacks some.
func TestVersionsAreNotRetained(t *testing.T) {
	for name, spoil := range map[string]func(f *listFixture){
		"lost disk":         func(f *listFixture) { require.NoError(f.t, os.Remove(filepath.Join(f.folder, "versions"))) },
		"torn file":         func(f *listFixture) { require.NoError(f.t, os.Truncate(filepath.Join(f.folder, "versions"), 20)) },
		"an earlier build":  func(f *listFixture) { f.start++ },
		"an older copy":     func(f *listFixture) { f.confirmed = false },
		"a list not whole":  func(f *listFixture) { f.lose(); f.restart(false) },
		"two starts before": func(f *listFixture) { f.start += 2 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newListFixture(t)
			f.hear(f.restart(true), "v1")
			spoil(f)
			require.False(t, f.restart(false).isRetained())
		})
	}
}

// lose has the VM lose its disk.
func (f *listFixture) lose() { f.folder = f.t.TempDir() }

// Guards against a control VM that has lost its disk and never counts as sure again.
func TestVersionsOfAVMThatHasCaughtUpAreRetained(t *testing.T) {
	f := newListFixture(t)
	f.lose()
	l := f.restart(false)
	require.False(t, l.isRetained())
	f.complete = true
	f.hear(l, "v1")
	f.complete = false
	require.True(t, f.restart(false).isRetained())
}
