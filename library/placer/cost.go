// Package placer rates workers for tasks, and keeps those that can take one in the order of their costs. It knows neither jobs nor the tables
// of the planner.
package placer

import (
	"math"
	"slices"

	"ebonyshunt.org/library/blamer"
	"ebonyshunt.org/library/sizer"
)

// Task is what the cost of a worker depends on of a task.
type Task struct {
	Size      sizer.Size // what it takes of a worker
	DataRack  string     // label of the workers near its data, empty for none
	CrossRack float64    // factor of its run time on other workers, at least 1
	Zone      string     // availability zone in which its occurrence began, empty before
	Urgent    bool       // whether its queue has the highest priority
	Gang      bool       // whether it runs only together with others
	Serving   bool       // whether it serves requests of users
	Suspected bool       // whether it is in a gang under which workers have crashed
}

// Worker is what the cost of a worker depends on of the worker.
type Worker struct {
	Zone         string
	Labels       []string
	Slowness     float64    // run times as a multiple of the average of other workers
	Capacity     sizer.Size // whole capacity
	Free         sizer.Size // what is left of it
	Runs         int
	ServingRuns  int  // number of runs that serve requests of users
	Unresponsive bool // whether it has not answered of late, and may have failed
	Cold         bool // whether it is still slow after its start
	KeptFree     bool // whether it was reserved for a blocked step in the last pass
	HasFailed    bool // whether the task has failed there
	HasCopyNear  bool // whether a run of the task is in its availability zone
}

// The weights of Cost, as multiples of the task's run time on a worker of average speed.
const (
	failedBeforeCost  = 4.0  // for a worker on which the task has failed
	freeSpaceCost     = 0.25 // for a worker that would stay completely free, less for one that is fuller
	notServingCost    = 0.5  // for a serving task on a worker that runs no other serving task
	otherZoneCost     = 0.3  // for an urgent task on a worker outside of the zone of its occurrence
	sameZoneCopyCost  = 0.6  // for a copy on a worker in the zone of the first run
	unresponsiveCost  = 0.3  // for a worker that has not answered recently
	coldCost          = 100  // for a worker that is still cold, more than all other costs together
	keptFreeCost      = 0.5  // for a worker that was reserved for a blocked step in the last pass
	speedMismatchCost = 0.5  // for a task that is not urgent, per unit of difference from the average run time
)

// Cost rates a worker for a task, lower is better: by the run time of the task there, and by how tightly it packs. Tasks that are not urgent
// leave the fast workers to others, and avoid the slow ones. Urgent tasks of an occurrence prefer one zone, so that the loss of a zone
// delays few jobs instead of a part of each. Serving tasks prefer workers that run other serving tasks; fillers, which disturb them, are
// kept off these workers. A worker that was reserved is kept free: steps that come before the one that it was reserved for would take the
// room there as fast as it becomes free.
func (task *Task) Cost(worker *Worker) float64 {
	cost := worker.Slowness
	if !task.Urgent && !task.Gang {
		cost = 1 + speedMismatchCost*math.Abs(cost-1)
	}
	if task.DataRack != "" && !slices.Contains(worker.Labels, task.DataRack) {
		cost *= max(task.CrossRack, 1)
	}
	cost += freeSpaceCost * worker.Free.Sub(task.Size).DominantShare(worker.Capacity)
	for _, extra := range [...]struct {
		applies bool
		cost    float64
	}{
		{task.Serving && worker.ServingRuns == 0, notServingCost},
		{worker.Unresponsive, unresponsiveCost},
		{worker.Cold, coldCost},
		{task.Suspected, blamer.NeighborCost(worker.Runs)},
		{worker.KeptFree, keptFreeCost},
		{worker.HasFailed, failedBeforeCost},
		{worker.HasCopyNear, sameZoneCopyCost},
		{task.Urgent && task.Zone != "" && task.Zone != worker.Zone, otherZoneCost},
	} {
		if extra.applies {
			cost += extra.cost
		}
	}
	return cost
}
