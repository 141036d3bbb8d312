package laburnumfeed

import (
	"context"
	"encoding/json"

	"laburnumlever"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

const (
	// routesPartBytes bounds one part of a route table, so that polls on the same connection are not held up on a slow link and
	// a control VM holds little for each of the gateways that fetch a large table at once.
	routesPartBytes = 128 << 10
	// kindUnknownMethod identifies the answer of a VM of an earlier build, which does not know parts.
	kindUnknownMethod = "unknown-method"
)

// routesPartRequest asks for the part of a version of the route table from an offset on.
type routesPartRequest struct {
	// Version is 0 for the current version.
	Version uint64 `json:"version,omitempty"`
	Offset  int    `json:"offset,omitempty"`
	// Document asks for the operators' text in place of the decoded table.
	Document bool `json:"document,omitempty"`
}

// routesPart is a part of the packed route table of Total bytes. It is the first one of the current version if the requested
// version is no longer current.
type routesPart struct {
	Version uint64 `json:"version"`
	Offset  int    `json:"offset,omitempty"`
	Total   int    `json:"total"`
	Data    []byte `json:"data"`
}

// handleRoutesPart returns a part of the route table without the operators' text, or of that text alone, which only control
// VMs need.
func (s *Source) handleRoutesPart(_ context.Context, params laburnumlever.RawMessage) (any, error) {
	var q routesPartRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, &MessageError{Method: methodRoutesPart, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		return nil, &laburnumlever.NotFoundError{Kind: "route table", Name: "any"}
	}
	packed, err := s.packRoutes(q.Document && len(s.routes.Document) > 0)
	if err != nil {
		return nil, &MessageError{Method: methodRoutesPart, Cause: err}
	}
	part := routesPart{Version: s.routes.Version, Total: len(packed)}
	if q.Version == part.Version && q.Offset >= 0 {
		part.Offset = min(q.Offset, part.Total)
	}
	part.Data = packed[part.Offset:min(part.Offset+routesPartBytes, part.Total)]
	return part, nil
}

// packRoutes returns the packed route table, either decoded or as the operators' text. The caller holds mu.
func (s *Source) packRoutes(document bool) ([]byte, error) {
	into, table := &s.packedRoutes, s.routes.WithoutDocument()
	if document {
		into, table = &s.packedDocument, laburnumlever.RouteTable{Version: s.routes.Version, Document: s.routes.Document}
	}
	if *into != nil {
		return *into, nil
	}
	packed, err := laburnumlever.PackRoutes(table)
	*into = packed
	return packed, err
}

// FetchRoutes fetches the route table from a control VM that has a newer version, unless one is being fetched. A
// failed fetch is retried at the next answer, within a second.
func (f *Follower) FetchRoutes(address string) {
	f.mu.Lock()
	busy := f.fetching
	f.fetching = true
	f.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()
	t, err := f.fetchParts(address)
	var refused *laburnumlever.PeerRefusedError
	if errors.As(err, &refused) && refused.Kind == kindUnknownMethod {
		t, err = f.fetchWhole(address)
	}
	if err != nil {
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventRoutesNotFetched, "address", address, "cause", err)
		return
	}
	f.sink.HandleRoutes(t)
}

// fetchParts fetches the current route table in parts. It starts over when the version changes meanwhile.
func (f *Follower) fetchParts(address string) (laburnumlever.RouteTable, error) {
	var version uint64
	var packed []byte
	for {
		var part routesPart
		if err := f.callForRoutes(address, methodRoutesPart, routesPartRequest{Version: version, Offset: len(packed), Document: f.document}, &part); err != nil {
			return laburnumlever.RouteTable{}, err
		}
		if part.Offset == 0 {
			version, packed = part.Version, make([]byte, 0, max(0, min(part.Total, laburnumlever.MaxRoutesTable)))
		}
		if part.Version != version || part.Offset != len(packed) || len(part.Data) == 0 {
			return laburnumlever.RouteTable{}, &MessageError{Method: methodRoutesPart, Cause: &laburnumlever.InvalidValueError{Name: "part", Value: "answer", Want: "the part that was asked for"}}
		}
		packed = append(packed, part.Data...)
		if len(packed) >= part.Total {
			return laburnumlever.UnpackRoutes(packed)
		}
	}
}

// fetchWhole fetches the route table from a VM of an earlier build, in one message.
func (f *Follower) fetchWhole(address string) (laburnumlever.RouteTable, error) {
	var t laburnumlever.RouteTable
	err := f.callForRoutes(address, methodRoutes, struct{}{}, &t)
	return t, err
}

func (f *Follower) callForRoutes(address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), routesTimeout)
	defer cancel()
	return f.peers.Call(ctx, address, method, params, result)
}
