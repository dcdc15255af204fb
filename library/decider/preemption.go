package decider

import (
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// victimFilter reports whether a running task may be stopped to make room for a blocked one.
type victimFilter func(decider *Decider, blocked, victim *Task) bool

// isPreemptible reports whether a task may be stopped at all: it must be running, not a request, and able to run
// again or to resume from a checkpoint.
func isPreemptible(victim *Task) bool {
	return victim.Origin == "" && victim.State == Running && !victim.Stopping && (victim.Idempotent || victim.Resumable)
}

// isLowerClassVictim selects preemptible tasks of the batch and standing classes.
func isLowerClassVictim(_ *Decider, _, victim *Task) bool {
	return isPreemptible(victim) && victim.Class >= Batch
}

// isOverShareVictim selects preemptible batch and standing tasks of other teams that keep their fair share
// without the task.
func isOverShareVictim(decider *Decider, blocked, victim *Task) bool {
	return isPreemptible(victim) && victim.Class >= Batch && victim.Team != blocked.Team && decider.hasShareWithout(victim.Team, victim.Size)
}

// preempt stops tasks on one worker until the blocked task has room there, and reserves the worker for it. It
// picks the worker on which this loses the least work, and reports whether it found one.
func (decider *Decider) preempt(blocked *Task, now time.Time, filter victimFilter) bool {
	var bestWorker *Worker
	var bestVictims []*Task
	var bestCost time.Duration
	for _, worker := range decider.ensureService(blocked.Service).workers {
		decider.Counters.Examined++
		if !worker.Usable(now) || worker.reserved != nil || slices.Contains(blocked.Avoid, worker.Name) {
			continue
		}
		victims, cost, enough := decider.chooseVictims(worker, blocked, now, filter)
		if enough && (bestWorker == nil || cost < bestCost) {
			bestWorker, bestVictims, bestCost = worker, victims, cost
		}
	}
	if bestWorker == nil {
		return false
	}
	decider.reserveWorker(bestWorker, blocked, now.Add(decider.Settings.StartTimeout), now)
	for _, victim := range bestVictims {
		decider.Counters.Preempted++
		decider.stop(victim, victim.Resumable)
	}
	return true
}

// chooseVictims returns the tasks to stop on a worker, those with the least lost work first, the total of the work
// lost, and whether the blocked task then has room. Tasks that are stopping already count as free capacity.
func (decider *Decider) chooseVictims(worker *Worker, blocked *Task, now time.Time, filter victimFilter) ([]*Task, time.Duration, bool) {
	var candidates []*Task
	free := worker.Free()
	for _, id := range sortedIDs(worker.Tasks) {
		task := worker.Tasks[id]
		if task.Stopping {
			free = free.Add(task.Size)
			continue
		}
		if filter(decider, blocked, task) {
			candidates = append(candidates, task)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Task) int {
		return int(lostWork(a, now) - lostWork(b, now))
	})
	var chosen []*Task
	var cost time.Duration
	for _, victim := range candidates {
		if blocked.Size.Fits(free) {
			break
		}
		free = free.Add(victim.Size)
		cost += lostWork(victim, now)
		chosen = append(chosen, victim)
	}
	return chosen, cost, blocked.Size.Fits(free)
}

// lostWork returns the run time that is lost if a task is stopped.
func lostWork(task *Task, now time.Time) time.Duration {
	ran := now.Sub(task.GrantedAt)
	if task.Resumable {
		return ran / checkpointDivisor
	}
	return ran
}

// checkpointDivisor sets the loss of a task that resumes from a checkpoint as a part of its run time. It makes
// that loss small against the loss of a task that has to start over.
const checkpointDivisor = 20

// reclaimShare preempts tasks of teams above their fair shares for a team below its own, and reports whether it
// did.
func (decider *Decider) reclaimShare(blocked *Task, now time.Time) bool {
	if decider.hasShareWithout(blocked.Team, sizer.Size{}) {
		return false
	}
	return decider.preempt(blocked, now, isOverShareVictim)
}

// hasShareWithout reports whether a team would still have at least its fair share if it used less by size. The
// fair share is the team's weight over the total weight of the teams with queued or running tasks.
func (decider *Decider) hasShareWithout(name string, size sizer.Size) bool {
	totalWeight := 0.0
	for _, team := range decider.teams {
		if team.QueuedTasks > 0 || !team.Used.Zero() {
			totalWeight += team.Share
		}
	}
	team := decider.ensureTeam(name)
	if totalWeight == 0 {
		return false
	}
	return team.Used.Sub(size).DominantShare(decider.totalCapacity) >= team.Share/totalWeight
}
