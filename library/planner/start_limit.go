package planner

import "math"

// StartLimit bounds the starts that are being carried out at the same time. Beyond what a planner's host can carry, further starts only
// delay those before them, until their tickets and timeouts run out; steps are then placed in the order of their ranks, as fast as
// starts are carried out.
type StartLimit struct {
	Available int // starts that the next pass may make
	Max       int // starts that may be carried out at the same time
}

// unlimitedStarts is the limit of a planner for which none is set.
var unlimitedStarts = StartLimit{Available: math.MaxInt32, Max: math.MaxInt32}

// SetStartLimit sets the limit on the starts of the next pass.
func (planner *Planner) SetStartLimit(startLimit StartLimit) { planner.startLimit = startLimit }

// allow reports whether a step may start a task now. A gang needs room for all its tasks, or for as many as ever have.
func (startLimit StartLimit) allow(step *step) bool {
	needed := 1
	if step.Gang {
		needed = min(step.Count, startLimit.Max)
	}
	return startLimit.Available >= needed
}
