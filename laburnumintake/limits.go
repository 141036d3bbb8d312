package laburnumintake

const (
	// FreeBytes are the bytes of a head, and of a body, that take no room.
	FreeBytes = 4 << 10

	// connectionBytes is what a connection counts for: its buffers, its goroutine, and a request with a small head and body.
	connectionBytes = 32 << 10
	// The share of the VM's memory for connections and for what arrives beyond FreeBytes, one in so many bytes. With the share for
	// answers they stay below the limit of the runtime, which needs the rest for its garbage.
	connectionsShare, bytesShare = 5, 8
	// The share of the descriptors for the connections of clients, of other VMs, and of each of the other listeners.
	descriptorsShare, peersShare, othersShare = 2, 3, 32
	minOthers                                 = 16
	// defaultBytes is for a VM whose memory is not known.
	defaultBytes = 64 << 20
)

// Limits are the bounds of what clients can have a VM hold.
type Limits struct {
	connections, peers, others int
	bytes                      int64
}

// NewLimits returns the limits of a VM with a memory in MB and a number of descriptors; 0 for either means that it is not known.
func NewLimits(memoryMB, descriptors int) Limits {
	l := Limits{bytes: defaultBytes}
	if descriptors > 0 {
		l.connections, l.peers = max(1, descriptors/descriptorsShare), max(1, descriptors/peersShare)
		l.others = max(minOthers, descriptors/othersShare)
	}
	if memoryMB > 0 {
		memory := int64(memoryMB) << 20
		l.bytes = memory / bytesShare
		if n := int(memory / connectionsShare / connectionBytes); l.connections == 0 || n < l.connections {
			l.connections = n
		}
	}
	return l
}

// WithBytes returns the limits with another bound, in bytes, of what arrives beyond FreeBytes.
func (l Limits) WithBytes(n int64) Limits {
	l.bytes = n
	return l
}

// Connections is the number of clients' connections; 0 for any.
func (l Limits) Connections() int { return l.connections }

// Peers is the number of other VMs' connections; 0 for any.
func (l Limits) Peers() int { return l.peers }

// Others is the number of connections of each other listener; 0 for any.
func (l Limits) Others() int { return l.others }

// Bytes bounds, in bytes, what all heads and bodies hold beyond FreeBytes.
func (l Limits) Bytes() int64 { return l.bytes }
