package laburnummembership

import (
	"context"

	"laburnumlever"
)

// Announce handles a backend server's announcement. It returns a *laburnumlever.StaleNewsError
// for an incarnation older than the known one.
func (m *Membership) Announce(ctx context.Context, a laburnumlever.Announcement) error {
	answer := make(chan error, 1)
	m.loop.Post(m, announced{announcement: a, answer: answer})
	return waitAnswer(ctx, answer)
}

// Report handles a backend server's load report. It returns a *laburnumlever.NotFoundError if
// its incarnation has not been announced, and a *laburnumlever.StaleNewsError if its
// incarnation or sequence number is out of date.
func (m *Membership) Report(ctx context.Context, r laburnumlever.LoadReport) error {
	answer := make(chan error, 1)
	m.loop.Post(m, reported{report: r, answer: answer})
	return waitAnswer(ctx, answer)
}

// Leave handles a backend server's notice that it is leaving. Its errors are those of Report.
func (m *Membership) Leave(ctx context.Context, backend laburnumlever.BackendID, incarnation uint64) error {
	answer := make(chan error, 1)
	m.loop.Post(m, backendLeft{backend: backend, incarnation: incarnation, answer: answer})
	return waitAnswer(ctx, answer)
}

func waitAnswer(ctx context.Context, answer <-chan error) error {
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
