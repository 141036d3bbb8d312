package laburnumroles

import (
	"encoding/json"
	"net/http"

	"laburnumlever"
	"laburnumlever/laburnumquarantine"

	"github.com/go-kit/log/level"
)

const (
	liftPath = "/quarantine/lift"
	// maxLift bounds the body of an operator's request, in bytes.
	maxLift = 4 << 10
)

// status returns the refused parts.
func (q *quarantine) status() []laburnumlever.PartStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var parts []laburnumlever.PartStatus
	for _, e := range q.parts.Refused(laburnumlever.MaxPartStatuses, q.timers.Now()) {
		parts = append(parts, laburnumlever.PartStatus{
			Service: e.Part.Service, Part: e.Part.ID, Crashes: e.Crashes, Trials: e.Trials, RetryIn: e.RetryIn,
		})
	}
	return parts
}

// handleLift serves an operator who has a part served again.
func (c *Control) handleLift(w http.ResponseWriter, r *http.Request) {
	var lift laburnumlever.PartLift
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLift)).Decode(&lift); err != nil || lift.Service == "" {
		http.Error(w, "want a service and a part", http.StatusBadRequest)
		return
	}
	c.liftPart(lift)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(lift) // an error means that the operator disconnected
}

// liftPart tells all control VMs that requests with the part are answered from now on, as a gateway does.
func (c *Control) liftPart(lift laburnumlever.PartLift) {
	part := laburnumquarantine.Part{Service: lift.Service, ID: lift.Part}
	now := c.timers.Now()
	report := laburnumquarantine.Report{
		Answers:   []laburnumquarantine.PartAnswer{{Part: part, AnsweredAt: now, Lifted: true}},
		Completed: []laburnumlever.RequestDigest{part.Digest()},
	}
	_ = level.Warn(c.logger).Log("event", laburnumlever.EventPartLifted, "part", lift.Part, "service", lift.Service)
	c.quarantine.add(report, now)
	c.lifts.add(part, report)
}
