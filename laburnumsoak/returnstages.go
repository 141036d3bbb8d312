package laburnumsoak

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"
)

// stageOf are the log events that mark a stage.
var stageOf = map[string]string{
	"started": "started", "start-confirmed": "start confirmed", "became-leader": "leader elected", "routes-applied": "routes applied",
	"routes-in-force": "routes in force", "lease-got": "placement lease", "keys-confirmed": "keys confirmed", "routes-confirmed": "routes confirmed", "backends-remembered": "servers remembered",
}

// returnStages are the stages in the order of a report.
var returnStages = []string{
	"process start", "started", "start confirmed", "leader elected", "routes applied", "routes in force", "servers remembered",
	"placement lease", "routes confirmed", "keys confirmed", "first served",
}

// stages records from the VMs' logs when each met a stage since the last fault.
type stages struct {
	mu     sync.Mutex
	since  time.Time
	met    map[string]map[*returnVM]time.Time
	lead   string
	voters []any
}

func newStages() *stages {
	s := &stages{}
	s.reset()
	return s
}

func (s *stages) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.met = time.Now(), map[string]map[*returnVM]time.Time{}
}

// lastStart returns when the last VM was started.
func (s *stages) lastStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.since
	for _, at := range s.met["process start"] {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (s *stages) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead
}

func (s *stages) votersNow() []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.voters
}

func (s *stages) up(vm *returnVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mark("process start", vm)
}

// mark records the first time that a VM met a stage. The caller holds mu.
func (s *stages) mark(stage string, vm *returnVM) {
	if s.met[stage] == nil {
		s.met[stage] = map[*returnVM]time.Time{}
	}
	if _, ok := s.met[stage][vm]; !ok {
		s.met[stage][vm] = time.Now()
	}
}

func (s *stages) line(vm *returnVM, text string) {
	var line map[string]any
	if !strings.HasPrefix(text, "{") || json.Unmarshal([]byte(text), &line) != nil {
		return
	}
	event, _ := line["event"].(string)
	s.mu.Lock()
	defer s.mu.Unlock()
	if stage, ok := stageOf[event]; ok {
		s.mark(stage, vm)
	}
	switch event {
	case "became-leader":
		s.lead = vm.name
	case "voters-in-force":
		if voters, ok := line["voters"].([]any); ok {
			s.voters = voters
		}
	default:
	}
}

// describe fills the report of a return.
func (f *returnFleet) describe(report *ReturnReport, l *returnLoad, back time.Time) {
	for i := range int(f.cfg.Observe / time.Second) {
		from := back.Add(time.Duration(i) * time.Second)
		if share := l.share(from, from.Add(time.Second)); share >= 0 {
			report.Seconds = append(report.Seconds, share)
			report.Refusals = append(report.Refusals, l.refusals(from, from.Add(time.Second)))
		}
	}
	report.Late = l.share(back.Add(f.cfg.Recover), back.Add(f.cfg.Observe))
	if report.Before >= returnServed && report.Late < returnServed {
		report.Violations = append(report.Violations, "less than a quarter is served after the time for recovery")
	}
	f.stages.mu.Lock()
	defer f.stages.mu.Unlock()
	first := f.stages.met
	served := map[*returnVM]time.Time{}
	for gateway, at := range l.firstServed(f.stages.since) {
		served[f.gateways[gateway]] = at
	}
	first["first served"] = served
	for _, stage := range returnStages {
		for _, isControl := range []bool{true, false} {
			if r, ok := f.stageReport(stage, isControl, back); ok {
				report.Stages = append(report.Stages, r)
			}
		}
	}
}

// stageReport returns when the VMs of a role met a stage; false if none did. The caller holds the stages' mu.
func (f *returnFleet) stageReport(stage string, isControl bool, back time.Time) (StageReport, bool) {
	r := StageReport{Stage: "gateways: " + stage}
	if isControl {
		r.Stage = "controls: " + stage
	}
	var times []int64
	var last time.Time
	for _, vm := range f.vms() {
		if _, restarted := f.stages.met["process start"][vm]; vm.isControl != isControl || !restarted && stage != "first served" {
			continue
		}
		r.Of++
		at, ok := f.stages.met[stage][vm]
		if !ok {
			continue
		}
		times = append(times, at.Sub(back).Milliseconds())
		if at.After(last) {
			last, r.Which = at, vm.name
		}
	}
	if len(times) == 0 {
		return r, false
	}
	slices.Sort(times)
	r.Met, r.First, r.Half, r.Last = len(times), times[0], times[len(times)/2], times[len(times)-1]
	return r, true
}
