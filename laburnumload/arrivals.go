package laburnumload

import (
	"math/rand/v2"
	"time"
)

// arrivalTimes draws the arrivals of one phase, counted from its start.
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

// rateAt is the rate, in requests a second, at a time of the phase.
func rateAt(phase Phase, at time.Duration) float64 {
	if phase.To <= 0 {
		return phase.RequestsPerSecond
	}
	return phase.RequestsPerSecond + (phase.To-phase.RequestsPerSecond)*float64(at)/float64(phase.For)
}

// poissonTimes thins a process of the highest rate down to the rate at each time,
// which keeps it Poisson while the rate moves.
func poissonTimes(phase Phase, rng *rand.Rand) []time.Duration {
	highest := max(phase.RequestsPerSecond, phase.To)
	if highest <= 0 {
		return nil
	}
	var times []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / highest * float64(time.Second))
		if at >= time.Duration(phase.For) {
			return times
		}
		if rng.Float64()*highest < rateAt(phase, at) {
			times = append(times, at)
		}
	}
}

// burstTimes spaces groups so that the phase's rate holds over all.
func burstTimes(phase Phase, rng *rand.Rand) []time.Duration {
	size := max(1, phase.BurstSize)
	groups := phase
	groups.RequestsPerSecond /= float64(size)
	groups.To /= float64(size)
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
	for at := time.Duration(0); at < time.Duration(phase.For); {
		times = append(times, at)
		at += time.Duration(float64(time.Second) / max(rateAt(phase, at), minRate))
	}
	return times
}

// minRate keeps a rate that falls to 0 from never ending the phase.
const minRate = 0.01
