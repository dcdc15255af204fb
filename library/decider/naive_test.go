package decider

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// naive is a reference implementation of the decider for TestDifferential. It keeps no sums, queues or heaps, and
// recomputes everything for each grant. It has no reservations and no preemption.
type naive struct {
	settings   Settings
	workers    []WorkerInfo
	teams      []TeamInfo
	services   map[string]*Service
	average    map[string]float64
	averagedAt time.Time
	waiting    []naiveTask
	running    []naiveTask
}

type naiveTask struct {
	Work
	queued time.Time
	began  time.Time
	worker string
}

func (naive *naive) totalCapacity() sizer.Size {
	var total sizer.Size
	for _, worker := range naive.workers {
		total = total.Add(worker.Capacity)
	}
	return total
}

func (naive *naive) granted(worker string) sizer.Size {
	var granted sizer.Size
	for _, task := range naive.running {
		if task.worker == worker {
			granted = granted.Add(task.Size)
		}
	}
	return granted
}

func (naive *naive) used(team string) sizer.Size {
	var used sizer.Size
	for _, task := range naive.running {
		if task.Team == team {
			used = used.Add(task.Size)
		}
	}
	return used
}

func (naive *naive) rank(task naiveTask, now time.Time) Class {
	if task.Class == Urgent {
		return Urgent
	}
	return max(Interactive, task.Class-Class(now.Sub(task.queued)/naive.settings.AgingInterval))
}

func (naive *naive) score(team TeamInfo) float64 {
	return (naive.used(team.Name).Dominant(naive.totalCapacity()) + naive.average[team.Name]) / 2 / team.Share
}

func (naive *naive) team(name string) TeamInfo {
	index := slices.IndexFunc(naive.teams, func(team TeamInfo) bool { return team.Name == name })
	return naive.teams[index]
}

// tick drops the tasks past their deadlines and grants tasks until no more fit. It returns the work ID and worker
// of each grant.
func (naive *naive) tick(now time.Time) [][2]string {
	naive.waiting = slices.DeleteFunc(naive.waiting, func(task naiveTask) bool {
		return !task.Deadline.IsZero() && !task.Deadline.After(now)
	})
	naive.updateAverageShares(now)
	var grants [][2]string
	for {
		index, worker := naive.findNext(now)
		if index < 0 {
			return grants
		}
		task := naive.waiting[index]
		naive.waiting = slices.Delete(naive.waiting, index, index+1)
		task.worker, task.began = worker, now
		naive.running = append(naive.running, task)
		grants = append(grants, [2]string{task.ID, worker})
	}
}

func (naive *naive) updateAverageShares(now time.Time) {
	elapsed := now.Sub(naive.averagedAt)
	if elapsed < averageInterval {
		return
	}
	naive.averagedAt = now
	decay := math.Exp2(-elapsed.Seconds() / naive.settings.ShareHalfLife.Seconds())
	for _, team := range naive.teams {
		share := naive.used(team.Name).Dominant(naive.totalCapacity())
		naive.average[team.Name] = decay*naive.average[team.Name] + (1-decay)*share
	}
}

// findNext returns the index of the first waiting task in scheduling order that fits on a worker, and the worker,
// or -1 if there is none.
func (naive *naive) findNext(now time.Time) (int, string) {
	order := make([]int, len(naive.waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := naive.waiting[i], naive.waiting[j]
		return cmp.Or(
			cmp.Compare(naive.rank(a, now), naive.rank(b, now)),
			cmp.Compare(naive.score(naive.team(a.Team)), naive.score(naive.team(b.Team))),
			a.queued.Compare(b.queued),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, index := range order {
		if worker := naive.findWorker(naive.waiting[index]); worker != "" {
			return index, worker
		}
	}
	return -1, ""
}

// findWorker returns the worker with the highest score that has room for the task, or "" if there is none.
func (naive *naive) findWorker(task naiveTask) string {
	team := Team{TeamInfo: naive.team(task.Team), Used: naive.used(task.Team)}
	if !team.hasRoom(task.Size, sizer.Size{}) {
		return ""
	}
	service := naive.services[task.Service]
	best, bestScore := "", 0.0
	for _, info := range naive.workers {
		worker := naive.workerRow(info)
		if info.Leaving || !service.Serves(info.Name) || !task.Size.Fits(worker.Free()) {
			continue
		}
		if score := service.score(worker, &Task{Work: task.Work}); best == "" || score > bestScore {
			best, bestScore = info.Name, score
		}
	}
	return best
}

// workerRow builds the worker's row from its running tasks.
func (naive *naive) workerRow(info WorkerInfo) *Worker {
	row := &Worker{WorkerInfo: info, Granted: naive.granted(info.Name), Tasks: map[string]*Task{}}
	for _, task := range naive.running {
		if task.worker == info.Name {
			row.Tasks[task.ID] = &Task{Work: task.Work}
		}
	}
	return row
}

func (naive *naive) finish(work string, now time.Time) {
	index := slices.IndexFunc(naive.running, func(task naiveTask) bool { return task.ID == work })
	task := naive.running[index]
	naive.services[task.Service].statistics.recordRun(task.worker, now.Sub(task.began))
	naive.running = slices.Delete(naive.running, index, index+1)
}

func (naive *naive) cancel(work string) {
	naive.waiting = slices.DeleteFunc(naive.waiting, func(task naiveTask) bool { return task.ID == work })
}
