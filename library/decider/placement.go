package decider

import (
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// shape is what placement looks at.
type shape struct {
	service string
	size    sizer.Size
}

// choose returns the best worker for a task, or nil when none has room.
func (decider *Decider) choose(task *Task, now time.Time) *Worker {
	service := decider.service(task.Service)
	var best *Worker
	var bestScore float64
	for _, worker := range service.workers {
		decider.Counters.Examined++
		if !decider.eligible(task, worker, now) {
			continue
		}
		score := service.rate(worker, task)
		if best == nil || score > bestScore {
			best, bestScore = worker, score
		}
	}
	return best
}

// eligible reports whether a worker can take the task now.
func (decider *Decider) eligible(task *Task, worker *Worker, now time.Time) bool {
	return worker.Usable(now) &&
		task.Size.Fits(worker.Free()) &&
		!slices.Contains(task.Avoid, worker.Name) &&
		decider.admits(worker, task, now)
}

// rate scores a worker under the service's placement; higher is better.
func (service *Service) rate(worker *Worker, task *Task) float64 {
	filled := worker.Granted.Add(task.Size).Dominant(worker.Capacity)
	switch service.Placement {
	case Pack:
		return filled
	case Spread:
		return -float64(service.countOn(worker))*spreadWeight - filled
	case Fast:
	}
	return service.learned.speedOf(worker.Name) - filled/fastFillDivisor
}

const (
	spreadWeight    = 10.0
	fastFillDivisor = 4.0
)

func (service *Service) countOn(worker *Worker) int {
	count := 0
	for _, task := range worker.Tasks {
		if task.Service == service.Name {
			count++
		}
	}
	return count
}

// ready estimates when a worker will have room for size, from the expected ends of its tasks.
// A task that outlived its expected run time is taken to be half way through.
func (decider *Decider) ready(worker *Worker, size sizer.Size, now time.Time) (time.Time, bool) {
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

func (decider *Decider) expectedEnd(task *Task, now time.Time) time.Time {
	ran := now.Sub(task.Began)
	expected := decider.expectedRun(task)
	if ran >= expected {
		return now.Add(max(ran, time.Millisecond))
	}
	return task.Began.Add(expected)
}

func (decider *Decider) expectedRun(task *Task) time.Duration {
	service := decider.service(task.Service)
	declared := service.RunTime
	if task.Expected > 0 {
		declared = task.Expected
	}
	return service.learned.expected(declared)
}

func sortedIDs(tasks map[string]*Task) []string {
	return slices.Sorted(maps.Keys(tasks))
}
