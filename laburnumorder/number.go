package laburnumorder

// countBits is how many orders and claims an owner can number for one engine under
// one lease; it leaves 43 bits for leases.
const (
	countBits = 20
	maxCount  = 1<<countBits - 1
)

// Number is the fencing number of one claim or order: the lease's number first, so
// that a later owner's numbers are all higher, then the owner's own count. The count
// guards against an order of the same owner that arrives late or twice: the
// engine has seen a higher number by then and refuses it.
func Number(lease, count uint64) uint64 { return lease<<countBits | min(count, maxCount) }

// LeaseOf is the lease's number in a fencing number.
func LeaseOf(number uint64) uint64 { return number >> countBits }
