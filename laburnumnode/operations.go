package laburnumnode

import (
	"context"

	"laburnumlever"
	"laburnumlever/laburnumplacement"
	"laburnumlever/laburnumsettings"
)

// Apply changes the catalogue; see laburnumlever.Operations for its errors.
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
		return n.repeatedOr(ctx, req, fitErr)
	}
	result, err := n.propose(ctx, req.ApplyCatalogue)
	if err != nil {
		return laburnumlever.ApplyAnswer{}, err
	}
	return applyAnswer(req.ApplyCatalogue, result, warnings)
}

// repeatedOr answers a resend of an accepted change as accepted even if the fleet
// has shrunk since and the change would be refused today: otherwise an operator
// who lost the first answer would take an accepted change for a refused one.
func (n *Node) repeatedOr(ctx context.Context, req laburnumlever.ApplyRequest, fitErr error) (laburnumlever.ApplyAnswer, error) {
	result, err := n.propose(ctx, req.WithAskOnly(true))
	if err == nil && result.Code == laburnumlever.ResultRepeated {
		return applyAnswer(req.ApplyCatalogue, result, nil)
	}
	return laburnumlever.ApplyAnswer{}, fitErr
}

func (n *Node) propose(ctx context.Context, apply laburnumlever.ApplyCatalogue) (laburnumlever.Result, error) {
	return n.voter.Propose(ctx, laburnumlever.Command{
		Kind:  laburnumlever.CommandApplyCatalogue,
		Apply: &apply,
	})
}

func applyAnswer(apply laburnumlever.ApplyCatalogue, result laburnumlever.Result, warnings []string) (laburnumlever.ApplyAnswer, error) {
	answer := laburnumlever.ApplyAnswer{Revision: result.Revision, Warnings: warnings}
	switch result.Code {
	case laburnumlever.ResultOK:
		return answer, nil
	case laburnumlever.ResultRepeated:
		answer.Repeated = true
		return answer, nil
	case laburnumlever.ResultConflict:
		return answer, &laburnumlever.ConflictError{Expected: apply.ExpectedRevision, Current: result.Revision}
	case laburnumlever.ResultMismatch:
		return answer, &laburnumlever.MismatchError{Key: apply.ChangeID}
	default:
		return answer, &laburnumlever.InvalidValueError{Name: "catalogue", Value: result.Code.String(), Want: "a change that can be applied: " + result.Detail}
	}
}

// Catalogue is the one in force on this VM.
func (n *Node) Catalogue() laburnumlever.Catalogue { return n.publisher.View().Catalogue }

// Status is this VM's account of itself and of what it sees.
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

// ExplainModel says why each copy of a model is where it is. Errors:
// *laburnumlever.NotFoundError.
func (n *Node) ExplainModel(name laburnumlever.ModelName) (laburnumlever.Explanation, error) {
	if e, ok := n.owner.Explain(name); ok {
		return e, nil
	}
	return laburnumlever.Explanation{}, &laburnumlever.NotFoundError{Kind: "model", Name: string(name)}
}

// ExplainRequest says what became of a request that this VM took lately. Errors:
// *laburnumlever.NotFoundError.
func (n *Node) ExplainRequest(id string) (laburnumlever.Explanation, error) {
	if e, ok := n.proxy.Explain(id); ok {
		return e, nil
	}
	return laburnumlever.Explanation{}, &laburnumlever.NotFoundError{Kind: "request", Name: id}
}

// SetLogLevel changes the level at run time.
func (n *Node) SetLogLevel(level string) error { return n.setLevel(level) }
