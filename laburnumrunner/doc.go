// Package laburnumrunner runs a VM of a platform from its settings file: it logs as the settings say, reloads them when they
// change, and shuts the VM down within its grace.
//
// # Usage
//
//	runner, err := laburnumrunner.New("gateway.jsonc", os.Stdout)
//	err = runner.RunGateway(ctx, platform.Dialect{}, platform.NewReadyHandler)
package laburnumrunner
