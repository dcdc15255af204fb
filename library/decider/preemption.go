package decider

import (
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// victimRule says which running tasks may be stopped for a blocked one.
type victimRule func(decider *Decider, blocked, victim *Task) bool

// movable reports whether a task may be stopped at all: never a request, and only what can be run
// again or resumed.
func movable(victim *Task) bool {
	return victim.Origin == "" && victim.State == Running && !victim.Stopping && (victim.Idempotent || victim.Resumable)
}

func lowerVictim(_ *Decider, _, victim *Task) bool {
	return movable(victim) && victim.Class >= Batch
}

// lentVictim allows a team below its share to take back what teams above theirs run.
func lentVictim(decider *Decider, blocked, victim *Task) bool {
	return movable(victim) && victim.Class >= Batch && victim.Team != blocked.Team && decider.overShare(victim.Team, victim.Size)
}

// preempt stops what runs on one worker, least work lost first, until the blocked task has room, and
// holds the worker for it.
func (decider *Decider) preempt(blocked *Task, now time.Time, rule victimRule) bool {
	var best *Worker
	var bestVictims []*Task
	var bestCost time.Duration
	for _, worker := range decider.service(blocked.Service).workers {
		decider.Counters.Examined++
		if !worker.Usable(now) || worker.reserved != nil || slices.Contains(blocked.Avoid, worker.Name) {
			continue
		}
		victims, cost, enough := decider.victims(worker, blocked, now, rule)
		if enough && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = worker, victims, cost
		}
	}
	if best == nil {
		return false
	}
	decider.book(best, blocked, now.Add(decider.Settings.StartWindow), now)
	for _, victim := range bestVictims {
		decider.Counters.Preempted++
		decider.stop(victim, victim.Resumable)
	}
	return true
}

func (decider *Decider) victims(worker *Worker, blocked *Task, now time.Time, rule victimRule) ([]*Task, time.Duration, bool) {
	var candidates []*Task
	free := worker.Free()
	for _, id := range sortedIDs(worker.Tasks) {
		task := worker.Tasks[id]
		if task.Stopping {
			free = free.Add(task.Size)
			continue
		}
		if rule(decider, blocked, task) {
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

// lostWork is what stopping a task throws away.
func lostWork(task *Task, now time.Time) time.Duration {
	ran := now.Sub(task.Began)
	if task.Resumable {
		return ran / checkpointDivisor
	}
	return ran
}

// checkpointDivisor makes the loss by a checkpoint a small part of the loss by a stop.
const checkpointDivisor = 20

// reclaim lets a team below its share preempt teams above theirs.
func (decider *Decider) reclaim(blocked *Task, now time.Time) bool {
	if decider.overShare(blocked.Team, sizer.Size{}) {
		return false
	}
	return decider.preempt(blocked, now, lentVictim)
}

// overShare reports whether a team would still have its fair share after giving up size.
func (decider *Decider) overShare(name string, size sizer.Size) bool {
	weights := 0.0
	for _, team := range decider.teams {
		if team.Waiting > 0 || !team.Used.Zero() {
			weights += team.Share
		}
	}
	team := decider.team(name)
	if weights == 0 {
		return false
	}
	return team.Used.Sub(size).Dominant(decider.total) >= team.Share/weights
}
