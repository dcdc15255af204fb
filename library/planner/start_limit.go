package planner

import (
	"math"
	"time"
)

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

// scarcityTime is for how long starts count as scarce after a pass was ended by the limit.
const scarcityTime = time.Second

// startsScarce reports whether the limit on starts, rather than the room on the workers, is what steps wait for.
func (planner *Planner) startsScarce(now time.Time) bool {
	return !planner.startsCutAt.IsZero() && now.Sub(planner.startsCutAt) < scarcityTime
}

// mayStart reports whether the pass may start a task now, for a step that has tasks to start.
func (pass *pass) mayStart() bool {
	if pass.starts.allow() {
		return true
	}
	if !pass.planner.startsCutAt.Equal(pass.now) {
		pass.planner.startsCutAt = pass.now
		pass.planner.counts.cutPasses++
	}
	return false
}
