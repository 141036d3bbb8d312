package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"laburnumlever"
	"laburnumlever/laburnumfleet"
	"laburnumlever/laburnumload"
	"laburnumlever/laburnumoperator"
)

// ownerLimitAttempts exceeds the burst that the visitors' limit of one request a second admits.
const ownerLimitAttempts = 20

// stepError reports a step of the session with an unexpected result.
type stepError struct{ Step, Got, Want string }

func (e *stepError) Error() string {
	return fmt.Sprintf("%s: got %s, want %s", e.Step, e.Got, e.Want)
}

// session is the session of quickstart --once.
type session struct {
	w       io.Writer
	fleet   *laburnumfleet.Fleet
	caller  *laburnumload.Caller
	address string
	number  int
}

// runSession runs the session up to the first step that fails.
func runSession(ctx context.Context, w io.Writer, fleet *laburnumfleet.Fleet) error {
	s := &session{w: w, fleet: fleet, caller: laburnumload.NewCaller(), address: fleet.CallersAddresses()[0]}
	for _, step := range []func(context.Context) error{
		s.apply, s.listModels, s.completion, s.booking, s.unknownModel, s.ownerLimit,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	printf(w, "done: every step gave what it should\n")
	return nil
}

// printStep prints a successful step.
func (s *session) printStep(format string, args ...any) {
	s.number++
	printf(s.w, "%d. %s\n", s.number, fmt.Sprintf(format, args...))
}

func (s *session) apply(ctx context.Context) error {
	revision, err := s.fleet.Apply(ctx)
	if err != nil {
		return err
	}
	if revision != 1 {
		return &stepError{Step: "apply the catalogue", Got: fmt.Sprint("revision ", revision), Want: "revision 1"}
	}
	if err := s.fleet.AwaitLoaded(ctx, revision); err != nil {
		return err
	}
	s.printStep("apply the catalogue: accepted as revision %d, every model has a ready copy", revision)
	return nil
}

func (s *session) listModels(ctx context.Context) error {
	catalogue, err := laburnumoperator.NewClient(s.fleet.OperatorsAddresses()[0]).Catalogue(ctx)
	if err != nil {
		return err
	}
	listed, err := s.caller.Models(ctx, s.address)
	if err != nil {
		return err
	}
	names := make([]string, len(catalogue.Models))
	for i, model := range catalogue.Models {
		names[i] = string(model.Name)
	}
	if strings.Join(listed, " ") != strings.Join(names, " ") {
		return &stepError{Step: "list models", Got: strings.Join(listed, " "), Want: strings.Join(names, " ")}
	}
	s.printStep("list models: %s", strings.Join(listed, ", "))
	return nil
}

func (s *session) completion(ctx context.Context) error {
	ask := laburnumload.Arrival{Model: "quote-small", Prompt: "oak parquet, 20 square metres", MaxTokens: 16, Stream: true, Caller: "homeowner"}
	got := s.caller.Send(ctx, s.address, ask)
	if v := laburnumload.CheckAnswer(ask, got); !v.Whole {
		return &stepError{Step: "streamed completion", Got: describe(got), Want: "the whole answer to its own prompt"}
	}
	s.printStep("streamed completion: %d tokens and the end marker, whole and its own", ask.MaxTokens)
	return nil
}

func (s *session) booking(ctx context.Context) error {
	ask := laburnumload.Arrival{
		Service: "booking", Method: http.MethodPost, Path: "/visits", Prompt: "Tuesday 9:00, rue de la Loi", Key: "visit-1", Caller: "homeowner",
	}
	first, second := s.caller.Send(ctx, s.address, ask), s.caller.Send(ctx, s.address, ask)
	if !laburnumload.CheckAnswer(ask, first).Whole || second.Text != first.Text {
		return &stepError{Step: "booking sent twice", Got: describe(first) + " and " + describe(second), Want: "the same answer twice"}
	}
	ledger, err := laburnumload.ReadLedgers(ctx, s.fleet.OperatorsAddresses()[0])
	if err != nil {
		return err
	}
	if broken := laburnumload.CheckLedger([]laburnumload.CallResult{{Key: ask.Key, Answered: true}}, ledger); len(broken) > 0 {
		return &stepError{Step: "booking sent twice", Got: strings.Join(broken, "; "), Want: "one run"}
	}
	s.printStep("booking sent twice with one key: the same answer twice, the service ran it once")
	return nil
}

func (s *session) unknownModel(ctx context.Context) error {
	got := s.caller.Send(ctx, s.address, laburnumload.Arrival{Model: "no-such-model", Prompt: "hello", MaxTokens: 1, Caller: "homeowner"})
	if got.Reason != "unknown-model" || got.Outcome != "not-run" {
		return &stepError{Step: "a model that is not catalogued", Got: describe(got), Want: "refused unknown-model, not-run"}
	}
	s.printStep("a model that is not catalogued: refused %s, %s", got.Reason, got.Outcome)
	return nil
}

func (s *session) ownerLimit(ctx context.Context) error {
	ask := laburnumload.Arrival{Model: "try-it", Prompt: "may I try it", MaxTokens: 1, Caller: "visitor"}
	var got laburnumload.Answer
	for range ownerLimitAttempts {
		got = s.caller.Send(ctx, s.address, ask)
		if got.Reason != "" {
			break
		}
	}
	want := laburnumlever.RefusedOwnerRequestRate.String()
	if got.Reason != want || got.Outcome != "not-run" || !got.RetryAfter {
		return &stepError{Step: "an owner over its limit", Got: describe(got), Want: "refused " + want + ", not-run, with Retry-After"}
	}
	s.printStep("an owner over its limit: refused %s, %s, with Retry-After", got.Reason, got.Outcome)
	return nil
}

func describe(a laburnumload.Answer) string {
	switch {
	case a.Lost != "":
		return "no answer (" + a.Lost + ")"
	case a.Reason != "":
		return fmt.Sprintf("refused %s, %s", a.Reason, a.Outcome)
	default:
		return fmt.Sprintf("status %d and %q", a.Status, a.Text)
	}
}
