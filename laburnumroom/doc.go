// Package laburnumroom decides how many slots of a service less urgent requests leave free for more urgent ones, over all
// gateways. It does no I/O and reads no clock.
//
// Load pattern: bursts of less urgent requests, each of which can wait for seconds, reach engines that also hold the models of
// urgent requests, while some engines are down. Each gateway orders its own queue only, and a free slot goes to the gateway that
// asks first: most gateways have a less urgent request to send whenever their own urgent ones are served. The urgent requests of
// the others then find no slot, although less urgent ones that could wait hold most of them.
//
//   - A Meter on each gateway counts what the requests of each rank asked for and got, for its reports.
//   - A Keeper on the control VM with the placement lease sums the reports of all gateways. While more urgent requests miss their
//     time or are refused for lack of a slot, it raises the headroom of the less urgent ranks; otherwise it lowers it, so that no
//     slot stays idle for long. It also names the client accounts that ask for far more than their usual.
//   - A Table on each gateway holds the Levels in force. A level ends unless it is renewed within its Lifetime: without a
//     holder of the lease each gateway serves by the order of its own queue.
//
// Requests put off wait in the queues of their gateways, up to the time at which their answers can still start in time. No rank is
// starved: FreePass names the share of its requests to which no headroom applies.
//
// # Usage
//
//	meter := laburnumroom.NewMeter(vm, now) // on a gateway
//	meter.Asked(service, rank, account, cost)
//	report := meter.Take(now)
//
//	keeper := laburnumroom.NewKeeper() // on a control VM
//	keeper.Begin(fence)
//	keeper.Report(vm, report, now)
//	for _, decision := range keeper.Decide(now) { publish(decision.Level) }
//
//	table := laburnumroom.NewTable() // on a gateway
//	table.Apply(level, now)
//	share := table.Headroom(service, rank)
//
// None is safe for concurrent use.
package laburnumroom
