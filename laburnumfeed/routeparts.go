package laburnumfeed

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"laburnumlever"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

// routesPartBytes bounds one part of a route table, so that polls on the same connection are not held up on a slow link and
// a control VM holds little for each of the gateways that fetch a large table at once.
const routesPartBytes = 128 << 10

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
	// Sum is a hash of all packed bytes: VMs of different builds may pack one table differently.
	Sum    uint64 `json:"sum"`
	Offset int    `json:"offset,omitempty"`
	Total  int    `json:"total"`
	Data   []byte `json:"data"`
}

// packedTable is a route table as sent to other VMs; nil data until it is first fetched.
type packedTable struct {
	data []byte
	sum  uint64
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
	if s.routes == nil || q.Version > s.routes.Version {
		return nil, &laburnumlever.NotFoundError{Kind: "route table", Name: "of version " + strconv.FormatUint(q.Version, 10)}
	}
	packed, err := s.packRoutes(q.Document && len(s.routes.Document) > 0)
	if err != nil {
		return nil, &MessageError{Method: methodRoutesPart, Cause: err}
	}
	part := routesPart{Version: s.routes.Version, Sum: packed.sum, Total: len(packed.data)}
	if q.Version == part.Version && q.Offset >= 0 {
		part.Offset = min(q.Offset, part.Total)
	}
	part.Data = packed.data[part.Offset:min(part.Offset+routesPartBytes, part.Total)]
	return part, nil
}

// packRoutes returns the packed route table, either decoded or as the operators' text. The caller holds mu.
func (s *Source) packRoutes(document bool) (packedTable, error) {
	into, table := &s.packedRoutes, s.routes.WithoutDocument()
	if document {
		into, table = &s.packedDocument, laburnumlever.RouteTable{Version: s.routes.Version, Document: s.routes.Document}
	}
	if into.data != nil {
		return *into, nil
	}
	packed, err := laburnumlever.PackRoutes(table)
	*into = packedTable{data: packed, sum: xxhash.Sum64(packed)}
	return *into, err
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
	t, parts, err := f.fetchParts(address)
	var refused *laburnumlever.PeerRefusedError
	if errors.As(err, &refused) && refused.UnknownMethod() {
		t, err = f.fetchWhole(address)
	}
	if err != nil {
		_ = level.Warn(f.logger).Log("event", laburnumlever.EventRoutesNotFetched, "address", address, "cause", err)
		return
	}
	f.sink.HandleRoutes(t)
	if parts > 1 {
		f.sendRoutesNotice(t.Version)
	}
}

// partsFetch is a route table of which the first parts have been fetched.
type partsFetch struct {
	version, sum uint64
	packed       []byte
	total        int
	// sources are the control VMs to ask in turn; the first one has the version.
	sources []string
	asked   int
}

// fetchParts fetches the current route table in parts, those behind the first from all control VMs in turn: all gateways learn of a
// table from the same VM, which would be the last to answer. It starts over when the version changes meanwhile. It returns the number
// of parts as well.
func (f *Follower) fetchParts(address string) (t laburnumlever.RouteTable, parts int, err error) {
	fetch := partsFetch{sources: f.routesSources(address)}
	for fetch.version == 0 || len(fetch.packed) < fetch.total {
		source := fetch.sources[fetch.asked%len(fetch.sources)]
		var part routesPart
		err := f.callForRoutes(fetch.timeout(), source, methodRoutesPart, routesPartRequest{Version: fetch.version, Offset: len(fetch.packed), Document: f.document}, &part)
		if err == nil && !fetch.add(part) {
			err = &MessageError{Method: methodRoutesPart, Cause: &laburnumlever.InvalidValueError{Name: "part", Value: "of " + source, Want: "the part that was asked for"}}
		}
		if err != nil && !fetch.drop(source) {
			return laburnumlever.RouteTable{}, fetch.asked, err
		}
	}
	t, err = laburnumlever.UnpackRoutes(fetch.packed)
	return t, fetch.asked, err
}

// routesSources returns the control VMs that answer, that at the address first.
func (f *Follower) routesSources(address string) []string {
	sources := []string{address}
	for _, other := range f.ControlsFor("", string(f.self.ID)) {
		if other != address {
			sources = append(sources, other)
		}
	}
	return sources
}

// timeout returns the timeout of the next call. It is short while another control VM can be asked instead.
func (p *partsFetch) timeout() time.Duration {
	if p.version == 0 || len(p.sources) == 1 {
		return routesTimeout
	}
	return routesTimeout / 4
}

// add adds a part, or starts over with the first part of a newer version. It reports whether it could.
func (p *partsFetch) add(part routesPart) bool {
	if part.Version > p.version && part.Offset == 0 {
		p.version, p.sum, p.total, p.packed = part.Version, part.Sum, part.Total, make([]byte, 0, max(0, min(part.Total, laburnumlever.MaxRoutesTable)))
	}
	if part.Version != p.version || part.Sum != p.sum || part.Offset != len(p.packed) || len(part.Data) == 0 {
		return false
	}
	p.packed = append(p.packed, part.Data...)
	p.asked++
	return true
}

// drop stops asking a control VM that lacks the version, has packed it differently or does not answer. It reports whether another
// one is left.
func (p *partsFetch) drop(source string) bool {
	p.sources = slices.DeleteFunc(p.sources, func(s string) bool { return s == source })
	return len(p.sources) > 0 && p.version > 0
}

// fetchWhole fetches the route table from a VM of an earlier build, in one message.
func (f *Follower) fetchWhole(address string) (laburnumlever.RouteTable, error) {
	var t laburnumlever.RouteTable
	err := f.callForRoutes(routesTimeout, address, methodRoutes, struct{}{}, &t)
	return t, err
}

func (f *Follower) callForRoutes(timeout time.Duration, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return f.peers.Call(ctx, address, method, params, result)
}
