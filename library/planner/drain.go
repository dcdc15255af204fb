package planner

import (
	"slices"
	"time"
)

// SetDrainedZones sets the availability zones whose workers get no new runs. The map must not be changed afterwards.
func (planner *Planner) SetDrainedZones(zones map[string]bool) { planner.drainedZones = zones }

// JobDrained reports whether a job of a service cannot start: one of the steps that it begins with could run on workers, and all
// of these are in drained zones. A job with a schedule may start after the zones have returned.
func (planner *Planner) JobDrained(job *Job, service string) bool {
	if len(planner.drainedZones) == 0 || job.Runs > 0 {
		return false
	}
	for number := range job.Steps {
		if step := &job.Steps[number]; len(step.DependsOn) == 0 && planner.stepDrained(step, service) {
			return true
		}
	}
	return false
}

// stepDrained reports whether there are workers that a step could run on, and all of them are in drained zones.
func (planner *Planner) stepDrained(step *Step, service string) bool {
	found := false
	for _, worker := range planner.workerList {
		if worker.Service != service || !worker.Listed || !worker.hasLabel(step.Label) || !step.chargedSize().Fits(worker.Capacity) {
			continue
		}
		if !planner.drainedZones[worker.Zone] {
			return false
		}
		found = true
	}
	return found
}

// DrainedRuns returns the number of runs that exist or may exist in each drained zone that has workers.
func (planner *Planner) DrainedRuns() map[string]int {
	runs := make(map[string]int, len(planner.drainedZones))
	for _, worker := range planner.workerList {
		if planner.drainedZones[worker.Zone] {
			runs[worker.Zone] += len(worker.Runs)
		}
	}
	return runs
}

// runsInDrainedZones returns the runs of standing steps in drained zones whose tasks may start elsewhere now, as far as
// Step.MaxUnavailable allows. All other runs in these zones end by themselves: their workers stay, and stopping them would waste
// their work. Workers that leave the fleet are left to runsOnLeavingWorkers.
func (planner *Planner) runsInDrainedZones(now time.Time) []movableRun {
	if len(planner.drainedZones) == 0 {
		return nil
	}
	runs := planner.movableRuns(func(worker *Worker) bool { return planner.drainedZones[worker.Zone] && !worker.Draining })
	return slices.DeleteFunc(runs, func(movableRun movableRun) bool { return !movableRun.withinBudget(now) })
}
