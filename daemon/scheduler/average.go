package scheduler

import (
	"sync/atomic"
	"time"
)

// average is an exponential moving average. Concurrent calls are safe but may lose a sample, which is tolerable.
type average struct {
	divisor int64 // the latest sample has a weight of one in divisor
	value   atomic.Int64
}

func (average *average) add(sample int64) {
	previous := average.value.Load()
	average.value.Store(previous + (sample-previous)/average.divisor)
}

// lossRate is the share of messages that were not answered, in millionths.
type lossRate struct {
	average
	threshold  int64 // losses per million above which the rate becomes high
	high       atomic.Bool
	lastLossAt atomic.Int64 // uptime of the last loss, in nanoseconds
}

// minHighLossTime is how long a high rate stays high at least after a loss, because repeated messages hide some losses.
const minHighLossTime = 1500 * time.Millisecond

// lossSample is the sample of a lost message. It is large, so that rounding the average is small against the threshold.
const lossSample = 1_000_000

// record adds a message that was answered or lost at the given uptime, and reports whether the rate became high or
// ceased to be high.
func (lossRate *lossRate) record(lost bool, uptime time.Duration) (changed bool) {
	var sample int64
	if lost {
		sample = lossSample
		lossRate.lastLossAt.Store(int64(uptime))
	}
	lossRate.add(sample)
	switch value := lossRate.value.Load(); {
	case value > lossRate.threshold:
		return lossRate.high.CompareAndSwap(false, true)
	case value < lossRate.threshold/2 && uptime-time.Duration(lossRate.lastLossAt.Load()) >= minHighLossTime:
		return lossRate.high.CompareAndSwap(true, false)
	}
	return false
}

// isHigh reports whether the rate is high: it has exceeded the threshold, and has not since fallen below half of it
// with no loss for minHighLossTime.
func (lossRate *lossRate) isHigh() bool { return lossRate.high.Load() }
