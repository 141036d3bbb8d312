package laburnumfleet

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"laburnumlever"
	"laburnumlever/laburnumload"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumstandin"
)

// pollInterval is how often the VMs are polled while Apply and the Await methods wait.
const pollInterval = 50 * time.Millisecond

// Apply puts the fleet's catalogue into effect and returns its revision. Transient
// errors are retried until the context ends: right after the start the voters have no
// leader yet, and not all VMs know the backend servers. A dry run comes first, so that
// a catalogue that can't be accepted yet is not proposed as a change.
func (f *Fleet) Apply(ctx context.Context) (uint64, error) {
	client := laburnumoperator.NewClient(f.OperatorsAddresses()[0])
	req := laburnumlever.ApplyRequest{DryRun: true}
	req.ChangeID = uuid.NewString()
	req.Catalogue = f.catalogue
	for {
		answer, err := client.Apply(ctx, req)
		switch {
		case err == nil && !req.DryRun:
			return answer.Revision, nil
		case err == nil:
			req.DryRun = false
		case !isTransient(err) || !waitPollInterval(ctx):
			return 0, err
		}
	}
}

// waitPollInterval waits for one interval; it returns false if the context ends first.
func waitPollInterval(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// AwaitLoaded waits until every VM knows the catalogue revision, a ready copy of every
// model and a backend server of every plain service. Errors: *NotLoadedError when the
// context ends first.
func (f *Fleet) AwaitLoaded(ctx context.Context, revision uint64) error {
	for _, address := range f.OperatorsAddresses() {
		if err := awaitLoaded(ctx, laburnumoperator.NewClient(address), revision); err != nil {
			return err
		}
	}
	return nil
}

func awaitLoaded(ctx context.Context, client *laburnumoperator.Client, revision uint64) error {
	for {
		status, err := client.Status(ctx)
		missing := unserved(status.View)
		if err == nil && status.View.Catalogue.Revision >= revision && len(missing) == 0 {
			return nil
		}
		if !waitPollInterval(ctx) {
			return &NotLoadedError{Models: missing, Revision: status.View.Catalogue.Revision, Cause: ctx.Err()}
		}
	}
}

// AwaitSettled waits until no VM has moved a model for the quiet time, or until the
// context ends. After a start the planner still adds second copies and replicas once
// every model is loaded.
func (f *Fleet) AwaitSettled(ctx context.Context, quiet time.Duration) {
	moves, since := uint64(0), time.Now()
	for time.Since(since) < quiet {
		now := uint64(0)
		for _, address := range f.OperatorsAddresses() {
			status, err := laburnumoperator.NewClient(address).Status(ctx)
			if err == nil {
				now += status.Moves
			}
		}
		if now != moves {
			moves, since = now, time.Now()
		}
		if !waitPollInterval(ctx) {
			return
		}
	}
}

// unserved lists the models and plain services that no available backend server serves.
func unserved(view laburnumlever.View) []laburnumlever.ModelName {
	var missing []laburnumlever.ModelName
	for _, model := range view.Catalogue.Models {
		if !anyBackend(view, func(b laburnumlever.Backend) bool { return b.Serves(model.Name) }) {
			missing = append(missing, model.Name)
		}
	}
	for _, service := range view.Catalogue.Services {
		if !anyBackend(view, func(b laburnumlever.Backend) bool { return b.Announcement.Service == service.Name }) {
			missing = append(missing, laburnumlever.ModelName(service.Name))
		}
	}
	return missing
}

func anyBackend(view laburnumlever.View, serves func(laburnumlever.Backend) bool) bool {
	for _, b := range view.Backends {
		if b.AcceptsRequests() && serves(b) {
			return true
		}
	}
	return false
}

// Act carries out an event of an experiment. Errors include
// *laburnumlever.InvalidValueError for an action that a fleet does not have,
// *laburnumlever.NotFoundError for an unknown VM, backend server or availability zone.
func (f *Fleet) Act(ctx context.Context, event laburnumload.Event) error {
	switch event.Action {
	case laburnumload.ActionKillVM, laburnumload.ActionStopVM:
		return f.endVM(ctx, event)
	case laburnumload.ActionKillBackend, laburnumload.ActionSlowBackend:
		return f.changeBackend(event)
	case laburnumload.ActionApply:
		return f.applyUnchangedPlacement(ctx)
	case laburnumload.ActionCutZone:
		return f.cutZone(laburnumlever.ZoneName(event.Name), laburnumstandin.LinkFrozen)
	case laburnumload.ActionHealZone:
		return f.cutZone(laburnumlever.ZoneName(event.Name), laburnumstandin.LinkOpen)
	default:
		return &laburnumlever.InvalidValueError{Name: "action", Value: event.Action.String(), Want: "an action on a fleet"}
	}
}

func (f *Fleet) endVM(ctx context.Context, event laburnumload.Event) error {
	f.mu.Lock()
	var found *fleetVM
	for _, vm := range f.vms {
		if string(vm.spec.VM) == event.Name && !vm.ended {
			found = vm
		}
	}
	if found != nil {
		found.ended = true
	}
	f.mu.Unlock()
	if found == nil {
		return &laburnumlever.NotFoundError{Kind: "VM", Name: event.Name}
	}
	if event.Action == laburnumload.ActionStopVM {
		return found.node.Shutdown(ctx)
	}
	found.node.Close()
	return nil
}

func (f *Fleet) changeBackend(event laburnumload.Event) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.backends {
		if string(b.id) != event.Name {
			continue
		}
		if event.Action == laburnumload.ActionSlowBackend {
			b.handler.set(event.Factor)
			return nil
		}
		b.standIn.Close()
		return b.server.Close()
	}
	return &laburnumlever.NotFoundError{Kind: "backend server", Name: event.Name}
}

// applyUnchangedPlacement applies the current catalogue with a slightly higher move cost,
// a new revision that leaves the placement as it is.
func (f *Fleet) applyUnchangedPlacement(ctx context.Context) error {
	client := laburnumoperator.NewClient(f.OperatorsAddresses()[0])
	current, err := client.Catalogue(ctx)
	if err != nil {
		return err
	}
	next := current
	next.Deployment.MoveCost += moveCostStep
	req := laburnumlever.ApplyRequest{}
	req.ChangeID = fmt.Sprintf("again-%s", uuid.NewString())
	req.ExpectedRevision = current.Revision
	req.Catalogue = next
	_, err = client.Apply(ctx, req)
	return err
}

// moveCostStep is small enough not to change any placement decision.
const moveCostStep = 0.001
