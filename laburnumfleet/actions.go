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

// askStep is how often a VM is asked while something is waited for.
const askStep = 50 * time.Millisecond

// Apply makes the fleet's catalogue the one in force and returns its revision. It is
// tried again until the context ends: right after the start the voters have no
// leader yet, and the backend servers are not known to all. It is tried dry first,
// so that a change that can't be accepted yet is none.
func (f *Fleet) Apply(ctx context.Context) (uint64, error) {
	client := laburnumoperator.NewClient(f.Operators()[0])
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
		case !comesRight(err) || !pause(ctx):
			return 0, err
		}
	}
}

// pause waits a step; false means that the context has ended.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(askStep)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// AwaitLoaded waits until every VM knows the revision and a ready copy of every
// model, and a backend server of every plain service.
func (f *Fleet) AwaitLoaded(ctx context.Context, revision uint64) error {
	for _, address := range f.Operators() {
		if err := awaitLoaded(ctx, laburnumoperator.NewClient(address), revision); err != nil {
			return err
		}
	}
	return nil
}

func awaitLoaded(ctx context.Context, client *laburnumoperator.Client, revision uint64) error {
	for {
		status, err := client.Status(ctx)
		missing := missingOf(status.View)
		if err == nil && status.View.Catalogue.Revision >= revision && len(missing) == 0 {
			return nil
		}
		if !pause(ctx) {
			return &NotLoadedError{Models: missing, Revision: status.View.Catalogue.Revision, Cause: ctx.Err()}
		}
	}
}

// AwaitSettled waits until no VM has moved a model for the quiet time, or until the
// context ends: after a start the planner goes on to second copies and replicas.
func (f *Fleet) AwaitSettled(ctx context.Context, quiet time.Duration) {
	moves, since := uint64(0), time.Now()
	for time.Since(since) < quiet {
		now := uint64(0)
		for _, address := range f.Operators() {
			status, err := laburnumoperator.NewClient(address).Status(ctx)
			if err == nil {
				now += status.Moves
			}
		}
		if now != moves {
			moves, since = now, time.Now()
		}
		if !pause(ctx) {
			return
		}
	}
}

// missingOf lists the models and plain services that no backend server serves.
func missingOf(view laburnumlever.View) []laburnumlever.ModelName {
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

// Act does what an event of an experiment asks.
func (f *Fleet) Act(ctx context.Context, event laburnumload.Event) error {
	switch event.Action {
	case laburnumload.ActionKillVM, laburnumload.ActionStopVM:
		return f.endVM(ctx, event)
	case laburnumload.ActionKillBackend, laburnumload.ActionSlowBackend:
		return f.changeBackend(event)
	case laburnumload.ActionApply:
		return f.applyAgain(ctx)
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
	var found *vm
	for _, one := range f.nodes {
		if string(one.spec.VM) == event.Name && !one.gone {
			found = one
		}
	}
	if found != nil {
		found.gone = true
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
		b.stand.Close()
		return b.server.Close()
	}
	return &laburnumlever.NotFoundError{Kind: "backend server", Name: event.Name}
}

// applyAgain makes a new revision that changes nothing that is placed.
func (f *Fleet) applyAgain(ctx context.Context) error {
	client := laburnumoperator.NewClient(f.Operators()[0])
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

// moveCostStep is small enough to change no decision.
const moveCostStep = 0.001
