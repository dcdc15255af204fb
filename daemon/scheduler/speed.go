package scheduler

import (
	"sync/atomic"
	"time"
)

// speed tells a slowed processor from one that has too much to do, by the time of a short computation that is always the same. The
// least of several times counts, since any of them may include waiting for the processor.
type speed struct {
	samples int
	beganAt time.Time     // when the current window began, zero for the first one
	least   time.Duration // of the samples of the current window
	usual   time.Duration // moving average of the least times, 0 before the first window
	latest  atomic.Int64  // least time of the latest window, in nanoseconds
	slowed  atomic.Bool
}

const (
	// speedWindow is the time of the samples of which the least one counts, at least minSpeedSamples of them.
	speedWindow     = 500 * time.Millisecond
	minSpeedSamples = 3
	// slowedFactor is the multiple of the usual time from which on the processor counts as slowed. Other programs on the same
	// machine cost less.
	slowedFactor = 2.5
	// speedAverageDivisor is the inverse of the weight of the latest window in the usual time: a processor that is fast for a moment
	// does not count as slowed after it.
	speedAverageDivisor = 8
	// slowedAverageDivisor is the same for a slowed processor, which counts as such for some ten seconds at least.
	slowedAverageDivisor = 128
	// probeSteps is the length of the computation, some 10 us.
	probeSteps = 10_000
)

// probeResult keeps the compiler from dropping the computation.
var probeResult atomic.Uint64

// probe runs the computation and returns how long it took.
func probe() time.Duration {
	began := time.Now()
	state := uint64(began.Nanosecond()) | 1
	for range probeSteps {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
	}
	probeResult.Store(state)
	return time.Since(began)
}

// record adds the time of one computation that was made at a time.
func (speed *speed) record(took time.Duration, now time.Time) {
	if speed.samples == 0 || took < speed.least {
		speed.least = took
	}
	speed.samples++
	if speed.samples < minSpeedSamples || now.Sub(speed.beganAt) < speedWindow {
		return
	}
	speed.samples, speed.beganAt = 0, now
	speed.latest.Store(int64(speed.least))
	if speed.usual == 0 {
		speed.usual = speed.least
	}
	slowed := float64(speed.least) > slowedFactor*float64(speed.usual)
	speed.slowed.Store(slowed)
	divisor := time.Duration(speedAverageDivisor)
	if slowed {
		divisor = slowedAverageDivisor
	}
	speed.usual += (speed.least - speed.usual) / divisor
}

// isSlowed reports whether the processor was slowed in the latest window.
func (speed *speed) isSlowed() bool { return speed.slowed.Load() }
