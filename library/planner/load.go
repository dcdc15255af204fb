package planner

import "ebonyshunt.org/library/sizer"

// Load describes how much work the planner has.
type Load struct {
	WaitingSteps   int // steps with tasks to start
	WaitingTasks   int
	Runs           int     // runs that exist or may exist
	UnknownWorkers int     // listed workers whose runs are not known
	UsedShare      float64 // dominant share of the fleet's capacity that runs use

	// The following count since the last call of Load.
	QueriedWorkers   int // workers named in policy queries
	RequeriedWorkers int // of these, those that the policy allowed before: their tickets expired
	ExaminedSteps    int // steps that placement passes tried to place
	CutPasses        int // passes that ended at the limit on starts
}

// workCounts counts work of the planner since the last call of Load.
type workCounts struct{ queriedWorkers, requeriedWorkers, examinedSteps, cutPasses int }

// Load returns the planner's current load, and resets the counts of its work.
func (planner *Planner) Load() Load {
	var load Load
	for _, step := range planner.steps {
		if len(step.waiting) > 0 {
			load.WaitingSteps++
			load.WaitingTasks += len(step.waiting)
		}
	}
	var used, capacity sizer.Size
	for _, worker := range planner.workerList {
		load.Runs += len(worker.Runs)
		if !worker.Listed {
			continue
		}
		used, capacity = used.Add(worker.Used), capacity.Add(worker.Capacity)
		if !worker.RunsKnown {
			load.UnknownWorkers++
		}
	}
	load.UsedShare = used.DominantShare(capacity)
	load.QueriedWorkers, load.RequeriedWorkers, load.ExaminedSteps = planner.counts.queriedWorkers, planner.counts.requeriedWorkers, planner.counts.examinedSteps
	load.CutPasses = planner.counts.cutPasses
	planner.counts = workCounts{}
	return load
}
