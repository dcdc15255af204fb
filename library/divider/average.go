package divider

import (
	"math"
	"time"
)

// HalfLife is the time in which the weight of past use in an Average falls by half. It spans several runs of urgent tasks,
// which take less than a second, and is over before a batch job has lost its value to the caller.
const HalfLife = 4 * time.Second

// Average is a decayed average of a value over time. Its zero value has seen only zeros.
type Average float64

// Retained returns the weight that an average keeps after a time, from 0 to 1.
func Retained(elapsed time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / HalfLife.Seconds())
}

// Add adds the value of a period that ended now; retained is the result of Retained for its length.
func (average *Average) Add(value, retained float64) {
	*average = Average(float64(*average)*retained + value*(1-retained))
}
