// Package laburnumquota keeps the quotas of client accounts over all gateways. It does no I/O and reads no clock.
//
// Each account has several keepers, control VMs that each own an equal share of its quota. A gateway takes tokens from
// any of them, somewhat ahead of its need, and spends them on requests. Tokens expire soon, so what all gateways spend
// in a window is bounded by what the keepers granted in that window and shortly before, whoever is cut off, frozen or
// restarted.
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
//		wallet.Apply(grants, asked)
//	}
//
// Times are those of one VM's clock that counts suspensions.
package laburnumquota
