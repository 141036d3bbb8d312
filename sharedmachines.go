package laburnumlever

// SharedMachines are the decisions that are switched on for services whose backend servers share their machines with others and
// tell their pace.
type SharedMachines struct {
	// Looks asks a model engine for its load and pace before a prompt is sent there, if they are not known.
	Looks bool
	// ByUrgency gives slots that are short to the most urgent requests of all gateways.
	ByUrgency bool
	// KnownReturns tells refused callers when a slot or a model is expected for them.
	KnownReturns bool
}
