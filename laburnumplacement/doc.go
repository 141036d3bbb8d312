// Package laburnumplacement plans which models are loaded on which engines. It is pure: it maps a
// Snapshot of the fleet to a Plan, without network access, goroutines or a clock; time is passed in.
//
// # Usage
//
//	planner := laburnumplacement.NewPlanner()
//	plan := planner.Plan(snapshot)
//	for _, move := range plan.Moves { … }
//
// All moves of a plan can be carried out at once on the fleet that the snapshot shows: no load
// depends on memory that another move has yet to free, and a copy is unloaded only when its
// replacement is already ready. Dependent steps are planned in later rounds, so a round that is
// lost, or planned from a stale snapshot, leaves no inconsistent state.
//
// The owner of each zone runs the same planner over its own view of the whole fleet and carries out
// only the moves on the engines of its zone. docs/design/placement.md explains why differing views
// cause neither the loss of a model nor oscillation.
//
// # Load patterns
//
// Residency: there are many models and few accelerators, so a lost copy has to be reloaded before
// the next request for it. Repairs therefore rank before spreading a model over two zones, and both
// rank before replicas for demand.
//
// Demand that changes tenfold within an hour: a planner that follows every change loads weights all
// the time, and the loads finish too late. Replicas are added for the current demand, but the value
// of keeping a copy is computed from the peak demand of the last half hour (Estimator), and a
// surplus copy is unloaded only when its memory is needed. Every move has a price, the deployment's
// move-cost.
//
// A burst on all models at once: all zones share the weight store. Each zone has a fixed quota of
// its load rate and parallel loads (LoadQuota), so their sum stays within the store's limits even
// when the zones cannot communicate. Moves in flight are bounded (maxMovesInFlight), so a wrong
// estimate cannot replace the whole fleet.
package laburnumplacement

//go:generate go tool -modfile=../tools/go.mod enumer -type=MoveReason -trimprefix=Reason -transform=kebab -text -json -output=enums_gen.go
