package laburnumpace

import "time"

// targetShare is the share of the target that the steps and the reading of one prompt may take. The rest is for other prompts that
// are read between the same two events, and for the network.
const targetShare = 0.75

// Prompt is a prompt that is to be read beside running streams.
type Prompt struct {
	// Reading is the time to read what the server has not cached, at the usual pace.
	Reading time.Duration
	// Interval is the usual time between two events of a stream; 0 if unknown.
	Interval time.Duration
	// Target is the shortest target for the pause between two events of the service's streams; 0 for none.
	Target time.Duration
}

// Pauses reports whether a pace, which may be infinite, makes reading the prompt delay an event of running streams beyond their
// target, or further beyond it.
func (p Prompt) Pauses(pace float64) bool { return p.overrun(pace) > 0 }

// overrun returns by how much a pace delays an event beyond the target, more than the usual pace would, in ns.
func (p Prompt) overrun(pace float64) float64 {
	if p.Target <= 0 || p.Reading <= 0 {
		return 0
	}
	usual := float64(p.Interval + p.Reading)
	return max(0, pace*usual-max(usual, targetShare*float64(p.Target)))
}
