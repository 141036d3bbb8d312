package laburnumroles

import (
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumendpoints"
	"laburnumlever/laburnumstream"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// rememberVersions is how long versions from before a start are told: as long as streams that they began may be taken up.
const rememberVersions = laburnumstream.Life

// servicesVersions are the software versions of each service.
type servicesVersions map[laburnumlever.ServiceName][]laburnumlever.SoftwareVersion

// versionList remembers over restarts which software versions a control VM knew. After a restart of all VMs the servers that
// have left announce themselves to nobody, and streams that they began would be taken up at the versions of the others. It is
// safe for concurrent use.
type versionList struct {
	store  *laburnumendpoints.Store
	saves  *saves
	timers laburnumlever.Timers
	logger log.Logger
	// start returns the number of this start, known the versions that the VM knows now, controls the number of control VMs.
	start    func() uint64
	known    func() servicesVersions
	controls func() int
	// complete reports whether the VM has known all backend servers for as long as streams last, confirmed whether the data
	// folder is no older copy.
	complete  func() bool
	confirmed func() bool

	mu sync.Mutex
	// before are the versions from before this start, told until a time. retained is set if these are all that there were.
	before   laburnumendpoints.Versions
	until    time.Time
	retained bool
	saved    laburnumendpoints.Versions
	// noted are the versions that have been noted since this start.
	noted servicesVersions
	// saving is set while a save runs, since a disk may hang, and changed if the list may have changed since it began.
	saving, changed, failed bool
}

// load reads what was saved before this start.
func (l *versionList) load(first bool) {
	before, err := l.store.LoadVersions()
	if err != nil {
		_ = level.Warn(l.logger).Log("event", laburnumlever.EventVersionsNotLoaded, "cause", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noted = servicesVersions{}
	l.before, l.until = before, l.timers.Now().Add(rememberVersions)
	l.retained = first || err == nil && before.Whole && before.Start+1 == l.start()
}

// startSaving saves the list now, and from now on whenever it has changed.
func (l *versionList) startSaving(period time.Duration) {
	l.save()
	l.timers.Every(period, func(time.Time) { l.save() })
}

// note has the list saved if a heartbeat names a version that is new to its service.
func (l *versionList) note(h laburnumlever.Heartbeat) {
	l.mu.Lock()
	noted := l.noted[h.Service]
	seen := slices.Contains(noted, h.Software)
	if !seen {
		l.noted[h.Service] = append(noted, h.Software)
	}
	l.mu.Unlock()
	if !seen && h.Service != "" {
		l.save()
	}
}

// save saves the list if it has changed. It does not block.
func (l *versionList) save() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed = true
	if !l.saving {
		l.saving = l.saves.start(l.saveChanges)
	}
}

func (l *versionList) saveChanges() {
	for l.takeChange() {
		list := l.list()
		if reflect.DeepEqual(list, l.saved) {
			continue
		}
		err := l.store.SaveVersions(list)
		if err == nil {
			l.saved = list
		}
		if (err != nil) && !l.failed {
			_ = level.Warn(l.logger).Log("event", laburnumlever.EventVersionsNotSaved, "cause", err)
		}
		l.failed = err != nil
	}
}

// takeChange reports whether the list may have changed, or ends the save.
func (l *versionList) takeChange() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saving, l.changed = l.changed, false
	return l.saving
}

// list returns what is to be saved.
func (l *versionList) list() laburnumendpoints.Versions {
	services := l.known()
	now := l.timers.Now()
	for _, service := range slices.Collect(maps.Keys(l.remembered(now))) {
		services[service] = l.with(service, services[service], now)
	}
	return laburnumendpoints.Versions{Start: l.start(), Whole: l.isRetained() || l.complete(), Controls: l.controlCount(), Services: services}
}

// remembered returns the versions from before this start.
func (l *versionList) remembered(now time.Time) servicesVersions {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.until) {
		return nil
	}
	return l.before.Services
}

// with adds the versions from before this start to those of a service.
func (l *versionList) with(service laburnumlever.ServiceName, versions []laburnumlever.SoftwareVersion, now time.Time) []laburnumlever.SoftwareVersion {
	before := l.remembered(now)[service]
	if len(before) == 0 {
		return versions
	}
	all := slices.Concat(versions, before)
	slices.Sort(all)
	return slices.Compact(all)
}

// isRetained reports whether the VM knows all versions that the fleet had before this start.
func (l *versionList) isRetained() bool {
	l.mu.Lock()
	retained := l.retained
	l.mu.Unlock()
	return retained && l.confirmed()
}

// controlCount returns the number of control VMs, those known before this start included.
func (l *versionList) controlCount() int {
	l.mu.Lock()
	before := l.before.Controls
	if !l.timers.Now().Before(l.until) {
		before = 0
	}
	l.mu.Unlock()
	return max(before, l.controls())
}
