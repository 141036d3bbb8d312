package laburnumload

import (
	"math/rand/v2"
	"time"
)

// arrivalTimes generates the arrival times of one phase, relative to its start.
func arrivalTimes(phase Phase, rng *rand.Rand) []time.Duration {
	switch phase.Shape {
	case ShapeSteady:
		return steadyTimes(phase)
	case ShapeBurst:
		return burstTimes(phase, rng)
	default:
		return poissonTimes(phase, rng)
	}
}

// rateAt is the rate, in requests per second, at a time of the phase; a ramp is linear.
func rateAt(phase Phase, at time.Duration) float64 {
	if phase.EndRequestsPerSecond <= 0 {
		return phase.RequestsPerSecond
	}
	return phase.RequestsPerSecond + (phase.EndRequestsPerSecond-phase.RequestsPerSecond)*float64(at)/float64(phase.Duration)
}

// poissonTimes generates a Poisson process with a varying rate by thinning a process
// of the highest rate.
func poissonTimes(phase Phase, rng *rand.Rand) []time.Duration {
	highest := max(phase.RequestsPerSecond, phase.EndRequestsPerSecond)
	if highest <= 0 {
		return nil
	}
	var times []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / highest * float64(time.Second))
		if at >= time.Duration(phase.Duration) {
			return times
		}
		if rng.Float64()*highest < rateAt(phase, at) {
			times = append(times, at)
		}
	}
}

// burstTimes generates bursts at Poisson times; the bursts' rate is divided by their
// size, so that the phase's mean request rate stays the same.
func burstTimes(phase Phase, rng *rand.Rand) []time.Duration {
	size := max(1, phase.BurstSize)
	groups := phase
	groups.RequestsPerSecond /= float64(size)
	groups.EndRequestsPerSecond /= float64(size)
	var times []time.Duration
	for _, at := range poissonTimes(groups, rng) {
		for range size {
			times = append(times, at)
		}
	}
	return times
}

func steadyTimes(phase Phase) []time.Duration {
	if phase.RequestsPerSecond <= 0 {
		return nil
	}
	var times []time.Duration
	for at := time.Duration(0); at < time.Duration(phase.Duration); {
		times = append(times, at)
		at += time.Duration(float64(time.Second) / max(rateAt(phase, at), minRate))
	}
	return times
}

// minRate, in requests per second, bounds the gap between steady arrivals where the
// rate falls to 0.
const minRate = 0.01
