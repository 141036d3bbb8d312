// Package laburnumrevocation tells how current a VM's route table is, so that a revoked key is refused in time by
// each VM, also by one that is cut off, was frozen or asks a control VM that itself is behind. It does no I/O and
// reads no clock.
//
// # Usage
//
//	view := laburnumrevocation.NewView(5 * time.Second)
//	view.SetVersion(7)                                              // the table in effect
//	view.Confirm(laburnumrevocation.Confirmation{Version: 7, AsOf: asked})
//	if !view.Accepts(now) { … }                                     // a newer table may have revoked the key
//
// Times are those of one VM's clock that counts suspensions. A confirmation that crosses VMs carries its age, and
// the VM that asked dates it from before it asked: the answer can only be newer.
package laburnumrevocation
