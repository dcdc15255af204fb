package scheduler

import "sync/atomic"

// average is a moving average that many goroutines may add to; one sample lost to another is of no account.
type average struct {
	weight int64 // one over the weight of the latest sample
	value  atomic.Int64
}

func (average *average) add(sample int64) {
	former := average.value.Load()
	average.value.Store(former + (sample-former)/average.weight)
}

// losses is which part of what was sent has no answer, in thousandths.
type losses struct {
	average
	many int64 // from which on there are many
}

const perMille = 1000

func (losses *losses) note(lost bool) {
	if lost {
		losses.add(perMille)
	} else {
		losses.add(0)
	}
}

// lossy reports whether much is lost at present.
func (losses *losses) lossy() bool { return losses.value.Load() > losses.many }
