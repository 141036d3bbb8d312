// Package laburnumquota keeps the quotas of client accounts over all gateways. It does no I/O and reads no clock.
//
// Each account has several keepers, control VMs that each own an equal share of its quota. A gateway takes tokens from
// any of them, somewhat ahead of its need, and spends them on requests. Tokens expire soon, so what all gateways spend
// in a window is bounded by what the keepers granted in that window and shortly before, whoever is cut off, frozen or
// restarted.
//
// A gateway also holds reserves, which last longer, for when no keeper answers. A keeper charges a reserve when it
// grants it and leaves it less to grant at once for as long as the reserve may be spent.
//
// # Usage
//
//	keeper := laburnumquota.NewKeeper(terms)                                   // on a control VM
//	keeper.SetShares(accounts, func(a laburnumlever.Account) float64 { … })
//	grants := keeper.Answer(asks, now)
//
//	wallet := laburnumquota.NewWallet(terms)                                   // on a gateway
//	receipt, ok := wallet.Spend("acme", 1200, now)
//	if !ok {
//		asks := wallet.Asks("acme", 1200, now)                                 // sent to a keeper
//		wallet.Apply(grants, asked)                                            // or, without an answer:
//		ok = wallet.SpendReserve("acme", 1200, now)
//	}
//
// Times are those of one VM's clock that counts suspensions.
package laburnumquota
