// Package laburnumdiskfault injects disk faults into an unmodified program without root. It
// intercepts the program's syncs and writes by seccomp user notification, and blocks, delays,
// shortens or fails those on files in the program's data folder. Other calls are unaffected.
//
// It works on Linux only, from 5.19 on.
//
// # Usage
//
//	disk := laburnumdiskfault.New("/data")
//	cmd := exec.Command(self, "stand-in", "disk", "--", "control", "--settings", path)
//	err := disk.Start(cmd) // the command calls Launch, which executes the program
//	disk.Set(laburnumdiskfault.State{Mode: laburnumdiskfault.Stalled})
package laburnumdiskfault
