package laburnumnode

import (
	"context"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
	"laburnumlever/laburnumsettings"
)

// Apply validates a catalogue and commits it to the log, or only validates it in a dry
// run. See laburnumlever.Operations for its errors.
func (n *Node) Apply(ctx context.Context, req laburnumlever.ApplyRequest) (laburnumlever.ApplyAnswer, error) {
	if faults := laburnumsettings.CheckCatalogue(req.Catalogue); len(faults) > 0 {
		return laburnumlever.ApplyAnswer{}, &laburnumlever.CatalogueInvalidError{Faults: faults}
	}
	view := n.publisher.View()
	warnings, fitErr := laburnumplacement.Fits(req.Catalogue, view.Backends)
	if req.DryRun {
		return laburnumlever.ApplyAnswer{Revision: view.Catalogue.Revision, Warnings: warnings}, fitErr
	}
	if fitErr != nil {
		return n.resentOr(ctx, req, fitErr)
	}
	result, err := n.propose(ctx, req.ApplyCatalogue)
	if err != nil {
		return laburnumlever.ApplyAnswer{}, applyError(req.ApplyCatalogue, err)
	}
	return applyAnswer(result, warnings), nil
}

// resentOr returns the first answer to a change that was accepted before and is
// resent, and fitErr for any other change. Without it, an operator who lost the first
// answer would see an accepted change rejected if the fleet has shrunk since then.
func (n *Node) resentOr(ctx context.Context, req laburnumlever.ApplyRequest, fitErr error) (laburnumlever.ApplyAnswer, error) {
	result, err := n.propose(ctx, req.WithAskOnly(true))
	if err == nil && result.Code == laburnumlever.ResultRepeated {
		return applyAnswer(result, nil), nil
	}
	return laburnumlever.ApplyAnswer{}, fitErr
}

func (n *Node) propose(ctx context.Context, apply laburnumlever.ApplyCatalogue) (laburnumlever.Result, error) {
	return n.voter.Propose(ctx, laburnumlever.Command{
		Kind:  laburnumlever.CommandApplyCatalogue,
		Apply: &apply,
	})
}

func applyAnswer(result laburnumlever.Result, warnings []string) laburnumlever.ApplyAnswer {
	return laburnumlever.ApplyAnswer{Revision: result.Revision, Repeated: result.Code == laburnumlever.ResultRepeated, Warnings: warnings}
}

// applyError returns the error for operators of a change that was not made.
func applyError(apply laburnumlever.ApplyCatalogue, err error) error {
	result, rejected := laburnumlever.Rejection(err)
	switch {
	case !rejected:
		return err
	case result.Code == laburnumlever.ResultConflict:
		return &laburnumlever.ConflictError{Expected: apply.ExpectedRevision, Current: result.Revision}
	case result.Code == laburnumlever.ResultMismatch:
		return &laburnumlever.MismatchError{Key: apply.ChangeID}
	default:
		return &laburnumlever.InvalidValueError{Name: "catalogue", Value: result.Code.String(), Want: "a change that can be applied: " + result.Detail}
	}
}

// Catalogue returns the catalogue in effect on this VM.
func (n *Node) Catalogue() laburnumlever.Catalogue { return n.publisher.View().Catalogue }

// Status returns this VM's own state and its view of the fleet.
func (n *Node) Status() laburnumlever.Status {
	return laburnumlever.Status{
		View:       *n.publisher.View(),
		Voter:      n.voter.Status(),
		ZoneOwners: n.zoneOwners(),
		Moves:      n.owner.LoadsDone(),
	}
}

func (n *Node) zoneOwners() map[laburnumlever.ZoneName]laburnumlever.VMID {
	owners := map[laburnumlever.ZoneName]laburnumlever.VMID{}
	for _, vm := range n.publisher.View().VMs {
		if vm.OwnsZone {
			owners[vm.Zone] = vm.ID
		}
	}
	if n.owner.Owns() {
		owners[n.self.Zone] = n.self.ID
	}
	return owners
}

// ExplainModel explains the placement of each copy of a model. Errors:
// *laburnumlever.NotFoundError.
func (n *Node) ExplainModel(name laburnumlever.ModelName) (laburnumlever.Explanation, error) {
	if e, ok := n.owner.Explain(name); ok {
		return e, nil
	}
	return laburnumlever.Explanation{}, &laburnumlever.NotFoundError{Kind: "model", Name: string(name)}
}

// ExplainRequest explains the outcome of a request that this VM received recently.
// Errors: *laburnumlever.NotFoundError.
func (n *Node) ExplainRequest(id string) (laburnumlever.Explanation, error) {
	if e, ok := n.proxy.Explain(id); ok {
		return e, nil
	}
	return laburnumlever.Explanation{}, &laburnumlever.NotFoundError{Kind: "request", Name: id}
}

// SetLogLevel changes the log level at run time. Errors: those of the function set
// by WithLevel.
func (n *Node) SetLogLevel(level string) error { return n.setLevel(level) }
