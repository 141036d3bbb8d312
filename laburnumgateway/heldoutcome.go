package laburnumgateway

//go:generate go tool -modfile=../tools/go.mod enumer -type=heldOutcome -transform=kebab -trimprefix=held -text -output=heldoutcome_gen.go

// heldOutcome is what became of the part of answers that was held for a slow caller.
type heldOutcome int

const (
	// heldDelivered means that the caller took all of it.
	heldDelivered heldOutcome = iota
	// heldCallerGone means that the caller left.
	heldCallerGone
	// heldBudget means that the connection was ended since the memory for held answers was short.
	heldBudget
	// heldSilence means that it was ended since the caller took nothing for as long as its request had.
	heldSilence
	// heldStopped means that it was ended since this VM stopped.
	heldStopped
)
