// Package laburnumlever defines the shared types of the laburnumlever serving system:
// the values that packages exchange, the interfaces of replaceable implementations,
// the error types and the enums. Implementations live in the packages below and
// depend on this one, never the reverse.
//
// # Usage
//
// Values are immutable once they are passed to another package. A With method returns
// a changed copy:
//
//	next := catalogue.WithRevision(catalogue.Revision + 1)
//
// A process runs one control thread (see Loop) that owns all control state, and
// many traffic goroutines that only read the current View:
//
//	view := views.View()
//	model, ok := view.Catalogue.Model("quote-small")
//
// Four terms are used throughout: a VM is a machine, a zone is an availability zone, a
// caller is a client that sends requests, and a backend server answers them.
// docs/GLOSSARY.md maps these to other terms.
package laburnumlever

// Generated texts omit the constants' prefixes. Refusal and retry reasons are generated
// separately, since RefusedRetryBudget would lose both prefixes.
//
//go:generate go tool -modfile=tools/go.mod enumer -type=RefusalReason -trimprefix=Refused -transform=kebab -text -json -output=refusalreason_gen.go
//go:generate go tool -modfile=tools/go.mod enumer -type=RetryReason -trimprefix=Retry -transform=kebab -text -json -output=retryreason_gen.go
//go:generate go tool -modfile=tools/go.mod enumer -type=LogEvent -linecomment -trimprefix=Event -transform=kebab -output=logevent_gen.go
//go:generate go tool -modfile=tools/go.mod enumer -type=BackendKind,OrderKind,OrderOutcome,AttemptState,RequestOutcome,CommandKind,ResultCode,Priority,VMState,RequestKind,EngineVerdict,QuotaUnit -trimprefix=Order,Attempt,Outcome,Command,Result,VM,Kind,Verdict,Quota -transform=kebab -text -json -output=enums_gen.go
