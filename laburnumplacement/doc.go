// Package laburnumplacement decides which copy of which model is loaded where. It is
// pure: it reads a Snapshot of the fleet and returns a Plan, with no network,
// goroutine or clock of its own; time is passed in.
//
// # Usage
//
//	planner := laburnumplacement.NewPlanner()
//	plan := planner.Plan(snapshot)
//	for _, move := range plan.Moves { … }
//
// Every move of a plan can be made at once on the fleet as the snapshot shows it: a
// copy is never planned into memory that another move has yet to free, and a copy is
// unloaded only when what must replace it already answers. What has to come later
// comes out of a later round. So a round that is lost, or made from an old view,
// leaves nothing half done.
//
// Every zone's owner runs the same planner over its own view of the whole fleet and
// carries out only the moves on its own zone's engines. docs/design/placement.md
// says why two views that differ neither lose a model nor swing to and fro.
//
// # The patterns of load that it answers
//
// Residency: models are many and accelerators few, so a copy that is lost has to be
// loaded again before anybody asks for it. Repairs therefore come before spread over
// two zones, and both before replicas.
//
// Demand that swings tenfold within an hour: a planner that follows each swing loads
// weights all the time and its loads come too late. A replica is added for demand as
// it is now, but what a copy is worth keeping is judged by the highest demand
// of the last half hour (Estimator), and a surplus copy is unloaded only to
// make room. Each move has a price, the deployment's move-cost.
//
// A burst on everything at once: the weight store is shared by all zones. Each has a
// fixed part of its rate and parallel loads (Share), so that their sum is never
// passed, also when the zones can't talk to each other; and replicas under way are
// bounded (maxShift), so that a wrong estimate can't turn the fleet over.
package laburnumplacement

//go:generate go tool -modfile=../tools/go.mod enumer -type=MoveReason -trimprefix=Reason -transform=kebab -text -json -output=enums_gen.go
