package planner

import "math"

// StartLimit bounds the starts that are being carried out at the same time. Beyond what a planner's host can carry, further starts only
// delay those before them, until their tickets and timeouts run out; steps are then placed in the order of their ranks, as fast as
// starts are carried out.
type StartLimit struct {
	Available int // starts that the next pass may make
}

// unlimitedStarts is the limit of a planner for which none is set.
var unlimitedStarts = StartLimit{Available: math.MaxInt32}

// SetStartLimit sets the limit on the starts of the next pass.
func (planner *Planner) SetStartLimit(startLimit StartLimit) { planner.startLimit = startLimit }

// allow reports whether a step may start a task now. A gang starts as a whole when one place is free, although it takes more: steps
// of lower rank take single places as they come free, so that as many as it needs may never be free at the same time.
func (startLimit StartLimit) allow() bool { return startLimit.Available > 0 }
