package laburnumorder

// countBits bounds the orders and claims that an owner can number for one engine under
// one lease. It leaves at least 43 bits for the lease's number.
const (
	countBits = 20
	maxCount  = 1<<countBits - 1
)

// FencingNumber returns the fencing number of one claim or order: the lease's number in
// the high bits, so that all numbers of a later owner are higher, and the owner's own
// count in the low bits. The count guards against delayed and duplicated orders of the
// same owner: the engine has seen a higher number by then and refuses them.
func FencingNumber(lease, count uint64) uint64 { return lease<<countBits | min(count, maxCount) }

// LeaseNumber returns the lease's number within a fencing number.
func LeaseNumber(number uint64) uint64 { return number >> countBits }
