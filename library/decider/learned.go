package decider

import (
	"math"
	"time"
)

// Learned holds what finished work taught about a service.
type Learned struct {
	runTime float64 // seconds, exponentially weighted
	count   int     // finished works
	speed   map[string]float64
	starts  float64 // decayed over rateMemory
	at      time.Time
}

const (
	learningWeight  = 0.1
	leastRunSeconds = 0.001
	rateMemory      = 10 * time.Second
)

// finish learns from one whole run.
func (learned *Learned) finish(worker string, span time.Duration) {
	seconds := max(span.Seconds(), leastRunSeconds)
	if learned.count == 0 {
		learned.runTime = seconds
		learned.speed = map[string]float64{}
	}
	learned.count++
	known := learned.speedOf(worker)
	learned.speed[worker] = known + learningWeight*(learned.runTime/seconds-known)
	learned.runTime += learningWeight * (seconds - learned.runTime)
}

// speedOf returns a worker's speed relative to the mean, 1 for one not seen.
func (learned *Learned) speedOf(worker string) float64 {
	if speed, seen := learned.speed[worker]; seen {
		return speed
	}
	return 1
}

// start counts one start.
func (learned *Learned) start(now time.Time) {
	learned.decay(now)
	learned.starts++
}

// rate returns starts a second.
func (learned *Learned) rate(now time.Time) float64 {
	learned.decay(now)
	return learned.starts / rateMemory.Seconds()
}

func (learned *Learned) decay(now time.Time) {
	elapsed := now.Sub(learned.at).Seconds()
	learned.at = now
	learned.starts *= math.Exp(-elapsed / rateMemory.Seconds())
}

// expected returns the run time to plan with.
func (learned *Learned) expected(declared time.Duration) time.Duration {
	if learned.count == 0 {
		return declared
	}
	return time.Duration(learned.runTime * float64(time.Second))
}
