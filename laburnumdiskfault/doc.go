// Package laburnumdiskfault disturbs the disk below a program that knows nothing of it, without
// root: the kernel asks for a verdict on each sync and write of the program (seccomp user
// notification), and what concerns files in its data folder is held, delayed, cut short or refused
// with an error. All else goes on as it is.
//
// It works on Linux only, from 5.19 on.
//
// # Usage
//
//	disk := laburnumdiskfault.New("/data")
//	cmd := exec.Command(self, "stand-in", "disk", "--", "control", "--settings", path)
//	err := disk.Start(cmd) // the command calls Launch, which becomes the program
//	disk.Set(laburnumdiskfault.State{Mode: laburnumdiskfault.Stalled})
package laburnumdiskfault
