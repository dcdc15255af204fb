package decider

import (
	"math"
	"time"
)

// Statistics holds measurements of a service: its run time, the relative speeds of its workers and the rate of
// starts.
type Statistics struct {
	meanRunSeconds float64            // exponentially weighted mean
	completedRuns  int                // number of completed tasks
	speeds         map[string]float64 // relative speeds by worker
	recentStarts   float64            // count that decays exponentially with startRateTimeConstant
	decayedAt      time.Time          // time of the last decay of recentStarts
}

const (
	averageWeight         = 0.1   // of the newest run in the weighted means
	minRunSeconds         = 0.001 // shorter runs count as this long, which bounds the speeds
	startRateTimeConstant = 10 * time.Second
)

// recordRun updates the mean run time and the worker's relative speed by one completed run.
func (statistics *Statistics) recordRun(worker string, duration time.Duration) {
	seconds := max(duration.Seconds(), minRunSeconds)
	if statistics.completedRuns == 0 {
		statistics.meanRunSeconds = seconds
		statistics.speeds = map[string]float64{}
	}
	statistics.completedRuns++
	previous := statistics.relativeSpeed(worker)
	statistics.speeds[worker] = previous + averageWeight*(statistics.meanRunSeconds/seconds-previous)
	statistics.meanRunSeconds += averageWeight * (seconds - statistics.meanRunSeconds)
}

// relativeSpeed returns a worker's speed relative to the service's mean, and 1 for a worker without completed
// runs.
func (statistics *Statistics) relativeSpeed(worker string) float64 {
	if speed, seen := statistics.speeds[worker]; seen {
		return speed
	}
	return 1
}

// recordStart counts one start.
func (statistics *Statistics) recordStart(now time.Time) {
	statistics.decay(now)
	statistics.recentStarts++
}

// startRate returns the recent number of starts per second.
func (statistics *Statistics) startRate(now time.Time) float64 {
	statistics.decay(now)
	return statistics.recentStarts / startRateTimeConstant.Seconds()
}

// decay reduces the count of recent starts by the time since the last decay.
func (statistics *Statistics) decay(now time.Time) {
	elapsed := now.Sub(statistics.decayedAt).Seconds()
	statistics.decayedAt = now
	statistics.recentStarts *= math.Exp(-elapsed / startRateTimeConstant.Seconds())
}

// expectedRunTime returns the mean run time, or the declared run time before the first completed run.
func (statistics *Statistics) expectedRunTime(declared time.Duration) time.Duration {
	if statistics.completedRuns == 0 {
		return declared
	}
	return time.Duration(statistics.meanRunSeconds * float64(time.Second))
}
