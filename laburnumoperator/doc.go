// Package laburnumoperator is the operators' HTTP interface of a VM: a handler and its
// client.
//
// An error is sent as a JSON body with its kind in kebab case and the fields of the
// error type. The client returns the error type that the VM's operation returned, so
// that errors.As works across the wire:
//
//	{"error": {"kind": "conflict", "message": "…", "expected": 7, "current": 8}}
//
// A change whose answer is lost may have been accepted: the client then returns a
// *laburnumlever.OutcomeUnknownError. Resending the change under the same change ID is
// safe.
//
// # Usage
//
//	handler := laburnumoperator.NewHandler(node, laburnumoperator.WithMetrics(metrics.Handler()))
//	client := laburnumoperator.NewClient("10.0.1.7:8081")
//	answer, err := client.Apply(ctx, request)
package laburnumoperator
