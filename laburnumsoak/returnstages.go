package laburnumsoak

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"
)

// keyHeaderName is the header of a client account's key.
const keyHeaderName = "X-Api-Key"

// stageOf are the log events that mark a stage.
var stageOf = map[string]string{
	"started": "started", "start-confirmed": "start confirmed", "became-leader": "leader elected", "routes-applied": "routes applied",
	"routes-in-force": "routes in force", "lease-got": "placement lease", "keys-confirmed": "keys confirmed", "backends-remembered": "servers remembered",
}

// returnStages are the stages in the order of a report.
var returnStages = []string{
	"process start", "started", "start confirmed", "leader elected", "routes applied", "routes in force", "servers remembered", "half of servers known", "all servers known",
	"placement lease", "keys confirmed", "first served",
}

// stages records from the VMs' logs when each met a stage since the last fault.
type stages struct {
	mu     sync.Mutex
	since  time.Time
	met    map[string]map[*returnVM]time.Time
	known  map[*returnVM]map[string]bool
	lead   string
	voters []any
	// Warnings counts warnings by event.
	warnings map[string]int
}

func newStages() *stages {
	s := &stages{}
	s.reset()
	return s
}

func (s *stages) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.met, s.known, s.warnings = time.Now(), map[string]map[*returnVM]time.Time{}, map[*returnVM]map[string]bool{}, map[string]int{}
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
	delete(s.known, vm)
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
	if level, _ := line["level"].(string); level == "warn" || level == "error" {
		s.warnings[event]++
	}
	switch event {
	case "became-leader":
		s.lead = vm.name
	case "voters-in-force":
		if voters, ok := line["voters"].([]any); ok {
			s.voters = voters
		}
	case "backend-known":
		if s.known[vm] == nil {
			s.known[vm] = map[string]bool{}
		}
		id, _ := line["backend"].(string)
		s.known[vm][id] = true
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
		met := first[stage]
		if len(met) == 0 {
			continue
		}
		for _, isControl := range []bool{true, false} {
			var times []int64
			of, last, lastName := 0, time.Time{}, ""
			for _, vm := range f.vms() {
				if _, restarted := first["process start"][vm]; vm.isControl != isControl || !restarted && stage != "first served" {
					continue
				}
				of++
				if at, ok := met[vm]; ok {
					times = append(times, at.Sub(back).Milliseconds())
					if at.After(last) {
						last, lastName = at, vm.name
					}
				}
			}
			if len(times) == 0 {
				continue
			}
			slices.Sort(times)
			role := "gateways: "
			if isControl {
				role = "controls: "
			}
			report.Stages = append(report.Stages, StageReport{
				Stage: role + stage, Met: len(times), Of: of, First: times[0], Half: times[len(times)/2], Last: times[len(times)-1], Which: lastName,
			})
		}
	}
}
