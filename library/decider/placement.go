package decider

import (
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// shape holds the requirements of a task that decide which workers can run it. After one task of a shape found
// no worker, others of the same shape are skipped for the rest of the tick.
type shape struct {
	service string
	size    sizer.Size
}

// chooseWorker returns the eligible worker with the highest score for a task, or nil if there is none.
func (decider *Decider) chooseWorker(task *Task, now time.Time) *Worker {
	service := decider.ensureService(task.Service)
	var best *Worker
	var bestScore float64
	for _, worker := range service.workers {
		decider.Counters.Examined++
		if !decider.eligible(task, worker, now) {
			continue
		}
		score := service.score(worker, task)
		if best == nil || score > bestScore {
			best, bestScore = worker, score
		}
	}
	return best
}

// eligible reports whether the task can start on a worker now.
func (decider *Decider) eligible(task *Task, worker *Worker, now time.Time) bool {
	return worker.Usable(now) &&
		task.Size.Fits(worker.Free()) &&
		!slices.Contains(task.Avoid, worker.Name) &&
		decider.reservationAdmits(worker, task, now)
}

// score rates a worker for a task under the service's placement strategy; higher is better.
func (service *Service) score(worker *Worker, task *Task) float64 {
	utilization := worker.Granted.Add(task.Size).DominantShare(worker.Capacity)
	switch service.Placement {
	case Pack:
		return utilization
	case Spread:
		return -float64(service.countTasksOn(worker))*spreadWeight - utilization
	case Fast:
	}
	return service.statistics.relativeSpeed(worker.Name) - utilization/fastUtilizationDivisor
}

const (
	spreadWeight           = 10.0 // above 1, so that the number of tasks outweighs the utilization
	fastUtilizationDivisor = 4.0  // a full worker scores like an empty one whose relative speed is lower by 1/4
)

func (service *Service) countTasksOn(worker *Worker) int {
	count := 0
	for _, task := range worker.Tasks {
		if task.Service == service.Name {
			count++
		}
	}
	return count
}

// estimateReady estimates when a worker will have room for a task of the given size, from the expected ends of
// its tasks. It reports false if the worker is too small.
func (decider *Decider) estimateReady(worker *Worker, size sizer.Size, now time.Time) (time.Time, bool) {
	if !size.Fits(worker.Capacity) {
		return time.Time{}, false
	}
	type ending struct {
		at   time.Time
		size sizer.Size
	}
	endings := make([]ending, 0, len(worker.Tasks))
	for _, id := range sortedIDs(worker.Tasks) {
		task := worker.Tasks[id]
		endings = append(endings, ending{at: decider.expectedEnd(task, now), size: task.Size})
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	free := worker.Free()
	at := now
	for _, ending := range endings {
		if size.Fits(free) {
			break
		}
		free = free.Add(ending.size)
		at = ending.at
	}
	return at, size.Fits(free)
}

// expectedEnd estimates when a task will end. A task that has exceeded its expected run time is assumed to be
// half done.
func (decider *Decider) expectedEnd(task *Task, now time.Time) time.Time {
	ran := now.Sub(task.GrantedAt)
	expected := decider.expectedRun(task)
	if ran >= expected {
		return now.Add(max(ran, time.Millisecond))
	}
	return task.GrantedAt.Add(expected)
}

// expectedRun returns the mean run time of the service's finished tasks. Before the first one it returns the
// run time declared by the work item, or else that declared by the service.
func (decider *Decider) expectedRun(task *Task) time.Duration {
	service := decider.ensureService(task.Service)
	declared := service.RunTime
	if task.Expected > 0 {
		declared = task.Expected
	}
	return service.statistics.expectedRunTime(declared)
}

func sortedIDs(tasks map[string]*Task) []string {
	return slices.Sorted(maps.Keys(tasks))
}
