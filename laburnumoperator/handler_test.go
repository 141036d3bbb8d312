package laburnumoperator_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumlever"
	"laburnumlever/laburnummetrics"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumstandin"
)

// fakeOperations returns err from every operation that can fail.
type fakeOperations struct {
	err      error
	notReady string
	applied  []laburnumlever.ApplyRequest
}

func (f *fakeOperations) Apply(_ context.Context, req laburnumlever.ApplyRequest) (laburnumlever.ApplyAnswer, error) {
	f.applied = append(f.applied, req)
	return laburnumlever.ApplyAnswer{Revision: req.ExpectedRevision + 1}, f.err
}

func (f *fakeOperations) Catalogue() laburnumlever.Catalogue {
	return laburnumlever.Catalogue{Revision: 7}
}

func (f *fakeOperations) Status() laburnumlever.Status {
	return laburnumlever.Status{View: laburnumlever.View{NotReady: f.notReady}}
}

func (f *fakeOperations) ExplainModel(name laburnumlever.ModelName) (laburnumlever.Explanation, error) {
	return laburnumlever.Explanation{Subject: "model " + string(name)}, f.err
}

func (f *fakeOperations) ExplainRequest(id string) (laburnumlever.Explanation, error) {
	return laburnumlever.Explanation{Subject: "request " + id}, f.err
}

func (f *fakeOperations) SetLogLevel(string) error { return f.err }

func serve(t *testing.T, ops laburnumlever.Operations) (*laburnumoperator.Client, string) {
	t.Helper()
	metrics := laburnummetrics.New()
	metrics.Scope().Tagged(map[string]string{"reason": "queue-full"}).Counter("refusals").Inc(2)
	require.NoError(t, metrics.Close())
	server := httptest.NewServer(laburnumoperator.NewHandler(ops, laburnumoperator.WithMetrics(metrics.Handler())))
	t.Cleanup(server.Close)
	return laburnumoperator.NewClient(server.Listener.Addr().String()), server.URL
}

func validRequest() laburnumlever.ApplyRequest {
	var req laburnumlever.ApplyRequest
	req.ChangeID = "change-1"
	req.ExpectedRevision = 7
	req.Catalogue.Deployment = laburnumlever.Deployment{
		Name: "armor-pose", Zones: []laburnumlever.ZoneName{"brest"},
		WeightStore: laburnumlever.WeightStore{LoadsPerSecond: 1, ParallelLoads: 1},
	}
	return req
}

// Guards against an error type or field that is lost between the VM and the client.
func TestErrorTypesRoundTrip(t *testing.T) {
	for _, want := range []error{
		&laburnumlever.ConflictError{Expected: 7, Current: 8},
		&laburnumlever.MismatchError{Key: "change-1"},
		&laburnumlever.CatalogueInvalidError{Faults: []laburnumlever.Fault{{Key: "models[0].owner", Problem: "p", Want: "w"}}},
		&laburnumlever.DoesNotFitError{ShortfallMiB: 512, Models: []laburnumlever.ModelName{"quote-large"}},
		&laburnumlever.NoQuorumError{Detail: "1 of 3 voters"},
		&laburnumlever.OutcomeUnknownError{Detail: "the leader left"},
		&laburnumlever.NotFoundError{Kind: "model", Name: "x"},
		&laburnumlever.InvalidValueError{Name: "level", Value: "loud", Want: "debug"},
	} {
		client, _ := serve(t, &fakeOperations{err: want})
		_, err := client.Apply(context.Background(), validRequest())
		require.Equal(t, want, err)
		_, err = client.ExplainModel(context.Background(), "quote-small")
		require.Equal(t, want, err)
	}
}

// Guards against a misspelt key or an invalid catalogue that reaches the VM.
func TestInvalidChangesAreRejected(t *testing.T) {
	ops := &fakeOperations{}
	client, url := serve(t, ops)
	answer, err := client.Apply(context.Background(), validRequest())
	require.NoError(t, err)
	require.Equal(t, uint64(8), answer.Revision)

	withoutName := validRequest()
	withoutName.Catalogue.Deployment.Name = ""
	_, err = client.Apply(context.Background(), withoutName)
	var invalid *laburnumlever.CatalogueInvalidError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "deployment.name", invalid.Faults[0].Key)

	resp, err := http.Post(url+"/catalogue", "application/json", strings.NewReader(`{"change-id": "x", "dry-rum": true}`))
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Contains(t, string(body), "dry-rum")
	require.Len(t, ops.applied, 1, "only the valid change reaches the VM")
}

func TestReadinessAndMetricsEndpoints(t *testing.T) {
	for notReady, status := range map[string]int{"": http.StatusOK, "no catalogue yet": http.StatusServiceUnavailable} {
		client, url := serve(t, &fakeOperations{notReady: notReady})
		reason, err := client.Ready(context.Background())
		require.NoError(t, err)
		require.Equal(t, notReady, reason)
		resp, err := http.Get(url + "/readyz")
		require.NoError(t, err)
		require.Equal(t, status, resp.StatusCode)
		resp, err = http.Get(url + "/metrics")
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), `laburnumlever_refusals{reason="queue-full"} 2`)
	}
}

// Guards against a client that reports a change as not made when the VM was killed before it answered.
func TestLostAnswerIsUnknownAndFailedDialIsUnreachable(t *testing.T) {
	closed, err := laburnumstandin.NewClosedPort()
	require.NoError(t, err)
	defer closed.Close()
	ln, err := net.Listen("tcp", closed.Address())
	require.NoError(t, err)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	client := laburnumoperator.NewClient(ln.Addr().String())
	_, err = client.Apply(context.Background(), validRequest())
	var unknown *laburnumlever.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)

	require.NoError(t, ln.Close())
	_, err = client.Apply(context.Background(), validRequest())
	var unreachable *laburnumoperator.UnreachableError
	require.ErrorAs(t, err, &unreachable)
}
