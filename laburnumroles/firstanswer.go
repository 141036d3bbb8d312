package laburnumroles

import (
	"context"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumrevocation"
	"laburnumlever/laburnumtimer"

	"github.com/cockroachdb/errors"
)

// attempt is the outcome of a question to one VM.
type attempt struct {
	confirmed laburnumrevocation.Confirmation
	err       error
}

// firstAnswer asks the VMs at the addresses, and returns the first confirmation. The next VM is asked after a failure, or after the
// time that pause returns for the number of VMs asked; those asked before are not given up. Without an answer it returns the errors
// of all, or that of ctx.
func firstAnswer(ctx context.Context, timers laburnumlever.Timers, addresses []string, pause func(asked int) time.Duration,
	ask func(ctx context.Context, address string) (laburnumrevocation.Confirmation, error),
) (laburnumrevocation.Confirmation, error) {
	attempts := make(chan attempt, len(addresses))
	asked, failed := 0, 0
	var causes error
	for failed < len(addresses) {
		var due <-chan struct{}
		cancel := func() {}
		if asked < len(addresses) {
			address := addresses[asked]
			asked++
			go func() {
				confirmed, err := ask(ctx, address)
				attempts <- attempt{confirmed: confirmed, err: err}
			}()
			due, cancel = laburnumtimer.AfterChannel(timers, pause(asked))
		}
		select {
		case <-due:
		case a := <-attempts:
			if a.err == nil {
				cancel()
				return a.confirmed, nil
			}
			failed++
			causes = errors.CombineErrors(causes, a.err)
		case <-ctx.Done():
			cancel()
			return laburnumrevocation.Confirmation{}, errors.CombineErrors(ctx.Err(), causes)
		}
		cancel()
	}
	return laburnumrevocation.Confirmation{}, causes
}
