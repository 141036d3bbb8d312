package laburnumstate

import (
	"encoding/json"

	"laburnumlever"
)

// Image is a copy of the machine's state for a snapshot. Its lists have the order of the
// tables, so that equal machines have equal images. It does not change when the machine
// does, so another goroutine can encode it.
type Image struct {
	Clock     int64                        `json:"clock"`
	Catalogue laburnumlever.Catalogue      `json:"catalogue"`
	Routes    *laburnumlever.EncodedRoutes `json:"routes,omitempty"`
	Changes   []change                     `json:"changes,omitempty"`
	Claims    []claim                      `json:"claims,omitempty"`
	Fence     uint64                       `json:"fence"`
	Leases    []Lease                      `json:"leases,omitempty"`
	Intents   []laburnumlever.OrderIntent  `json:"intents,omitempty"`
}

// Image returns a copy of the state.
func (m *Machine) Image() Image {
	img := Image{
		Clock: m.clock, Catalogue: m.catalogue, Routes: m.routes, Changes: m.changes.list,
		Fence: m.leases.fence, Leases: m.leases.list, Intents: m.leases.intents,
	}
	img.Claims = make([]claim, 0, len(m.claims.byKey))
	for e := m.claims.order.Front(); e != nil; e = e.Next() {
		img.Claims = append(img.Claims, *claimOf(e))
	}
	return img
}

// Encode encodes the image as JSON. An error is an *ImageError.
func (img Image) Encode() ([]byte, error) {
	data, err := json.Marshal(img)
	if err != nil {
		return nil, &ImageError{Cause: err}
	}
	return data, nil
}

// Decode returns a machine with the state that Encode has encoded, or an empty machine
// if there is no data. An error is an *ImageError.
func Decode(data []byte, opts ...Option) (*Machine, error) {
	m := New(opts...)
	if len(data) == 0 {
		return m, nil
	}
	var img Image
	if err := json.Unmarshal(data, &img); err != nil {
		return nil, &ImageError{Cause: err}
	}
	m.clock, m.catalogue, m.routes = img.Clock, img.Catalogue, img.Routes
	for _, c := range img.Changes {
		m.changes.add(c, m.limits.Changes)
	}
	for i := range img.Claims {
		m.claims.insert(&img.Claims[i])
	}
	m.leases = leaseTable{fence: img.Fence, list: img.Leases, intents: img.Intents}
	return m, nil
}
