package decider

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// naiveDecider is a reference implementation of the decider for TestDifferential. It keeps no sums, queues or heaps, and
// recomputes everything for each grant. It has no reservations and no preemption.
type naiveDecider struct {
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

func (naiveDecider *naiveDecider) totalCapacity() sizer.Size {
	var total sizer.Size
	for _, worker := range naiveDecider.workers {
		total = total.Add(worker.Capacity)
	}
	return total
}

func (naiveDecider *naiveDecider) granted(worker string) sizer.Size {
	var granted sizer.Size
	for _, task := range naiveDecider.running {
		if task.worker == worker {
			granted = granted.Add(task.Size)
		}
	}
	return granted
}

func (naiveDecider *naiveDecider) used(team string) sizer.Size {
	var used sizer.Size
	for _, task := range naiveDecider.running {
		if task.Team == team {
			used = used.Add(task.Size)
		}
	}
	return used
}

func (naiveDecider *naiveDecider) rank(task naiveTask, now time.Time) Class {
	if task.Class == Urgent {
		return Urgent
	}
	return max(Interactive, task.Class-Class(now.Sub(task.queued)/naiveDecider.settings.AgingInterval))
}

func (naiveDecider *naiveDecider) score(team TeamInfo) float64 {
	return (naiveDecider.used(team.Name).DominantShare(naiveDecider.totalCapacity()) + naiveDecider.average[team.Name]) / 2 / team.Share
}

func (naiveDecider *naiveDecider) team(name string) TeamInfo {
	index := slices.IndexFunc(naiveDecider.teams, func(team TeamInfo) bool { return team.Name == name })
	return naiveDecider.teams[index]
}

// tick drops the tasks past their deadlines and grants tasks until no more fit. It returns the work ID and worker
// of each grant.
func (naiveDecider *naiveDecider) tick(now time.Time) [][2]string {
	naiveDecider.waiting = slices.DeleteFunc(naiveDecider.waiting, func(task naiveTask) bool {
		return !task.Deadline.IsZero() && !task.Deadline.After(now)
	})
	naiveDecider.updateAverageShares(now)
	var grants [][2]string
	for {
		index, worker := naiveDecider.findNext(now)
		if index < 0 {
			return grants
		}
		task := naiveDecider.waiting[index]
		naiveDecider.waiting = slices.Delete(naiveDecider.waiting, index, index+1)
		task.worker, task.began = worker, now
		naiveDecider.running = append(naiveDecider.running, task)
		grants = append(grants, [2]string{task.ID, worker})
	}
}

func (naiveDecider *naiveDecider) updateAverageShares(now time.Time) {
	elapsed := now.Sub(naiveDecider.averagedAt)
	if elapsed < averageInterval {
		return
	}
	naiveDecider.averagedAt = now
	decay := math.Exp2(-elapsed.Seconds() / naiveDecider.settings.ShareHalfLife.Seconds())
	for _, team := range naiveDecider.teams {
		share := naiveDecider.used(team.Name).DominantShare(naiveDecider.totalCapacity())
		naiveDecider.average[team.Name] = decay*naiveDecider.average[team.Name] + (1-decay)*share
	}
}

// findNext returns the index of the first waiting task in scheduling order that fits on a worker, and the worker,
// or -1 if there is none.
func (naiveDecider *naiveDecider) findNext(now time.Time) (int, string) {
	order := make([]int, len(naiveDecider.waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := naiveDecider.waiting[i], naiveDecider.waiting[j]
		return cmp.Or(
			cmp.Compare(naiveDecider.rank(a, now), naiveDecider.rank(b, now)),
			cmp.Compare(naiveDecider.score(naiveDecider.team(a.Team)), naiveDecider.score(naiveDecider.team(b.Team))),
			a.queued.Compare(b.queued),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, index := range order {
		if worker := naiveDecider.findWorker(naiveDecider.waiting[index]); worker != "" {
			return index, worker
		}
	}
	return -1, ""
}

// findWorker returns the worker with the highest score that has room for the task, or "" if there is none.
func (naiveDecider *naiveDecider) findWorker(task naiveTask) string {
	team := Team{TeamInfo: naiveDecider.team(task.Team), Used: naiveDecider.used(task.Team)}
	if !team.hasRoom(task.Size, sizer.Size{}) {
		return ""
	}
	service := naiveDecider.services[task.Service]
	best, bestScore := "", 0.0
	for _, info := range naiveDecider.workers {
		worker := naiveDecider.workerRow(info)
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
func (naiveDecider *naiveDecider) workerRow(info WorkerInfo) *Worker {
	row := &Worker{WorkerInfo: info, Granted: naiveDecider.granted(info.Name), Tasks: map[string]*Task{}}
	for _, task := range naiveDecider.running {
		if task.worker == info.Name {
			row.Tasks[task.ID] = &Task{Work: task.Work}
		}
	}
	return row
}

func (naiveDecider *naiveDecider) finish(work string, now time.Time) {
	index := slices.IndexFunc(naiveDecider.running, func(task naiveTask) bool { return task.ID == work })
	task := naiveDecider.running[index]
	naiveDecider.services[task.Service].statistics.recordRun(task.worker, now.Sub(task.began))
	naiveDecider.running = slices.Delete(naiveDecider.running, index, index+1)
}

func (naiveDecider *naiveDecider) cancel(work string) {
	naiveDecider.waiting = slices.DeleteFunc(naiveDecider.waiting, func(task naiveTask) bool { return task.ID == work })
}
