package planner

import (
	"maps"
	"slices"
	"time"
)

// An order of an earlier planner may still be sent after this one began: by a host that passes it on, or by the host of that planner until
// it learns of this one. A worker that has answered this planner refuses it, but not if the worker starts anew in between. Until no such
// order is sent any more, a run that its worker does not list stays open.

// formerOrdersEnd returns the time from which no order of an earlier planner is sent any more.
func (planner *Planner) formerOrdersEnd() time.Time {
	end := planner.startedAt.Add(planner.Settings.FormerOrderWindow)
	if planner.former.RenewalsEnd.Before(end) {
		end = planner.former.RenewalsEnd
	}
	return end.Add(planner.Settings.OrderTime)
}

// endFormerOrders reads the workers again that do not list a run of an earlier planner, once no order for it is sent any more.
func (planner *Planner) endFormerOrders(now time.Time) {
	if planner.formerOrdersEnded || now.Before(planner.formerOrdersEnd()) {
		return
	}
	planner.formerOrdersEnded = true
	for _, id := range slices.Sorted(maps.Keys(planner.workers)) {
		if worker := planner.workers[id]; worker.endFormerOrders() {
			planner.fence(worker)
		}
	}
}

// endFormerOrders marks the orders of earlier planners as sent or dropped. It reports whether the worker answered meanwhile without listing
// one of the runs.
func (worker *Worker) endFormerOrders() (missing bool) {
	for _, run := range worker.Runs {
		if run.InFlight && run.learning.restored {
			run.InFlight = false
			missing = missing || worker.RunsKnown && !run.Confirmed
		}
	}
	return missing
}
