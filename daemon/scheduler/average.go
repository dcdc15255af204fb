package scheduler

import (
	"sync/atomic"
	"time"
)

// average is a moving average that many goroutines may add to; one sample lost to another is of no account.
type average struct {
	weight int64 // one over the weight of the latest sample
	value  atomic.Int64
}

func (average *average) add(sample int64) {
	former := average.value.Load()
	average.value.Store(former + (sample-former)/average.weight)
}

// losses is which part of what was sent has no answer, in millionths.
type losses struct {
	average
	many int64 // from which on there are many, until there are half as many and none for some time
	now  atomic.Bool
	last atomic.Int64 // uptime at which something was lost last
}

// lossesLast is how long a time of many losses lasts at least after a loss: repeats hide some of them.
const lossesLast = 1500 * time.Millisecond

// perMillion keeps the rounding of the average small against what counts as many.
const perMillion = 1_000_000

// note takes note of whether something was answered by an uptime, and reports whether that begins or ends a time of many
// losses.
func (losses *losses) note(lost bool, uptime time.Duration) (changed bool) {
	var sample int64
	if lost {
		sample = perMillion
		losses.last.Store(int64(uptime))
	}
	losses.add(sample)
	switch value := losses.value.Load(); {
	case value > losses.many:
		return losses.now.CompareAndSwap(false, true)
	case value < losses.many/2 && uptime-time.Duration(losses.last.Load()) >= lossesLast:
		return losses.now.CompareAndSwap(true, false)
	}
	return false
}

// lossy reports whether much is lost at present.
func (losses *losses) lossy() bool { return losses.now.Load() }
