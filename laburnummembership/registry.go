package laburnummembership

import (
	"context"

	"laburnumlever"
)

// Announce takes a backend server's announcement.
func (m *Membership) Announce(ctx context.Context, a laburnumlever.Announcement) error {
	answer := make(chan error, 1)
	m.loop.Post(m, announced{announcement: a, answer: answer})
	return waitAnswer(ctx, answer)
}

// Report takes a backend server's load report; before its announcement is known
// it is a *laburnumlever.NotFoundError.
func (m *Membership) Report(ctx context.Context, r laburnumlever.LoadReport) error {
	answer := make(chan error, 1)
	m.loop.Post(m, reported{report: r, answer: answer})
	return waitAnswer(ctx, answer)
}

// Leave takes a backend server's word that it leaves.
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
