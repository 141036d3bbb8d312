// Package laburnumlever is the root of the laburnumlever serving system. It
// holds the values that parts exchange, the interfaces of everything that
// varies, the error types and the enums. It depends on no implementation;
// implementations live in the packages below it and depend on this one.
//
// # Usage
//
// Values are immutable: a value that has been handed to another part is never
// written again. Where a changed value is needed, a With method returns a
// changed copy:
//
//	next := catalogue.WithRevision(catalogue.Revision + 1)
//
// A process runs one control thread (see Loop) that owns all control state, and
// many traffic goroutines that only read the current View:
//
//	view := views.View()
//	model, ok := view.Catalogue.Model("quote-small")
//
// Names follow the users' words for four things: a machine is a VM, a
// zone is an availability zone, whoever sends a request is a caller, and what
// answers it is a backend server. docs/GLOSSARY.md maps these to other terms.
package laburnumlever

// Names on the wire lack the constants' prefixes; refusal and retry reasons are
// generated apart, since RefusedRetryBudget would lose both.
//
//go:generate go tool -modfile=tools/go.mod enumer -type=RefusalReason -trimprefix=Refused -transform=kebab -text -json -output=refusalreason_gen.go
//go:generate go tool -modfile=tools/go.mod enumer -type=RetryReason -trimprefix=Retry -transform=kebab -text -json -output=retryreason_gen.go
//go:generate go tool -modfile=tools/go.mod enumer -type=LogEvent -linecomment -trimprefix=Event -transform=kebab -output=logevent_gen.go
//go:generate go tool -modfile=tools/go.mod enumer -type=BackendKind,OrderKind,OrderOutcome,AttemptState,RequestOutcome,CommandKind,ResultCode,Priority,VMState,RequestKind,EngineVerdict -trimprefix=Order,Attempt,Outcome,Command,Result,VM,Kind,Verdict -transform=kebab -text -json -output=enums_gen.go
