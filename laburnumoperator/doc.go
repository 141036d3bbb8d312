// Package laburnumoperator is the operators' HTTP interface: a handler that
// answers for one VM and a client that speaks to it.
//
// Errors travel as a body with their kind in kebab case and the fields of the
// error type, so that the client gives back the same type that the VM's
// operation returned, and errors.As works across the wire:
//
//	{"error": {"kind": "conflict", "message": "…", "expected": 7, "current": 8}}
//
// A change whose answer is lost may or may not have been accepted: the client
// returns a *laburnumlever.OutcomeUnknownError, and sending it again under the
// same change id is safe.
//
// # Usage
//
//	handler := laburnumoperator.NewHandler(node, laburnumoperator.WithMetrics(metrics.Handler()))
//	client := laburnumoperator.NewClient("10.0.1.7:8081")
//	answer, err := client.Apply(ctx, request)
package laburnumoperator
