package laburnumlever

// RoomReport is what one gateway's requests asked for of slots, and got, since its last report. Counts are those of Span.
type RoomReport struct {
	// Incarnation is that of the gateway's VM. Sequence orders the reports of one incarnation; the higher is newer.
	Incarnation uint64        `json:"born,omitempty"`
	Sequence    uint64        `json:"sequence"`
	Span        Duration      `json:"span"`
	Services    []ServiceRoom `json:"services,omitempty"`
}

// ServiceRoom is the part of a RoomReport on one service.
type ServiceRoom struct {
	Service ServiceName `json:"service"`
	Ranks   []RankRoom  `json:"ranks,omitempty"`
	// Accounts are the client accounts that asked for most.
	Accounts []AccountCost `json:"accounts,omitempty"`
}

// RankRoom counts the requests of one rank; rank 0 is the most urgent.
type RankRoom struct {
	Rank int `json:"rank"`
	// Asked counts those that asked for a slot, Served those that got one while the answer could still start in time, Late those
	// that got one later and Refused those that were refused since no slot was free.
	Asked   int `json:"asked,omitempty"`
	Served  int `json:"served,omitempty"`
	Late    int `json:"late,omitempty"`
	Refused int `json:"refused,omitempty"`
}

// AccountCost is the cost of the requests of a client account, in tokens.
type AccountCost struct {
	Account AccountName `json:"account"`
	Cost    float64     `json:"cost"`
}

// IsZero reports whether the report is empty.
func (r RoomReport) IsZero() bool { return len(r.Services) == 0 }

// RoomStatus is the share of a service's slots that less urgent requests leave free.
type RoomStatus struct {
	Service ServiceName `json:"service"`
	// Headroom is the share by rank; Surging are the client accounts that come last within their rank.
	Headroom map[int]float64 `json:"headroom,omitempty"`
	Surging  []AccountName   `json:"surging,omitempty"`
	// Fence and Sequence identify the decision, Director is who made it, Age the time since it was made or arrived.
	Fence    uint64   `json:"fence"`
	Sequence uint64   `json:"sequence"`
	Director VMID     `json:"director,omitempty"`
	Age      Duration `json:"age"`
}
