package decider

import (
	"container/heap"
	"math"
	"time"
)

// Tick runs the systems over the tables and returns the effects to carry out, in order.
func (decider *Decider) Tick(now time.Time) []Effect {
	decider.Counters.Ticks++
	decider.releaseDeferred(now)
	decider.expireDeadlines(now)
	decider.lapseLeases(now)
	decider.averageShares(now)
	decider.placeTasks(now)
	effects := decider.effects
	decider.effects = nil
	return effects
}

// expireDeadlines drops queued works whose deadline for the start has passed.
func (decider *Decider) expireDeadlines(now time.Time) {
	for decider.deadlines.Len() > 0 {
		first := decider.deadlines[0]
		if first.place != nil && first.Deadline.After(now) {
			return
		}
		heap.Pop(&decider.deadlines)
		if first.place != nil {
			decider.remove(first)
			decider.emit(Expired{Work: first.Work})
		}
	}
}

// lapseLeases settles the tasks of silent workers once their leases have surely ended.
func (decider *Decider) lapseLeases(now time.Time) {
	for _, name := range decider.names {
		worker := decider.workers[name]
		if len(worker.Tasks) == 0 || now.Sub(worker.ClockAt) < decider.Settings.TaskLease {
			continue
		}
		for _, id := range sortedIDs(worker.Tasks) {
			task := worker.Tasks[id]
			if worker.lapsed(max(worker.Lease, task.Grant.Lease), now) {
				decider.settle(task, Vanished, 0, "", now)
			}
		}
	}
}

// averageShares moves each team's average towards its present dominant share.
func (decider *Decider) averageShares(now time.Time) {
	elapsed := now.Sub(decider.averaged)
	if elapsed < averageEvery {
		return
	}
	decider.averaged = now
	kept := math.Exp2(-elapsed.Seconds() / decider.Settings.ShareMemory.Seconds())
	for _, team := range decider.teams {
		instant := team.Used.Dominant(decider.total)
		team.Average = kept*team.Average + (1-kept)*instant
	}
}

const averageEvery = time.Second

// placeTasks grants queued tasks in order until nothing more fits.
func (decider *Decider) placeTasks(now time.Time) {
	if len(decider.lanes) == 0 {
		return
	}
	lanes := make(laneHeap, 0, len(decider.lanes))
	for _, lane := range decider.lanes {
		decider.update(lane, now)
		lanes = append(lanes, lane)
	}
	heap.Init(&lanes)
	clear(decider.blocked)
	for lane := decider.next(&lanes, now); lane != nil; lane = decider.next(&lanes, now) {
		if !decider.serve(lane, now) {
			continue
		}
		if lane.tasks.Len() > 0 {
			heap.Push(&lanes, lane)
		}
	}
}

// serve places the head of a lane, with its gang, and reports whether it did.
func (decider *Decider) serve(lane *lane, now time.Time) bool {
	head := lane.head()
	count := max(1, head.Gang)
	if lane.tasks.Len() < count {
		return false
	}
	team := decider.team(head.Team)
	if !team.room(head.Size.Times(int64(count)), decider.withheld) {
		return false
	}
	if head.Gang > 0 {
		return decider.serveGang(lane, count, now)
	}
	shape := shape{service: head.Service, size: head.Size}
	if decider.blocked[shape] && !decider.holds(head) {
		decider.press(head, now)
		return false
	}
	worker := decider.choose(head, now)
	if worker == nil {
		decider.blocked[shape] = true
		decider.press(head, now)
		return false
	}
	decider.unreserve(head.ID)
	decider.grant(head, worker, now)
	return true
}

// preemptWait returns the wait after which work of a class preempts batch and standing work.
func (decider *Decider) preemptWait(class Class) time.Duration {
	if class == Urgent {
		return decider.Settings.PreemptWait
	}
	return interactivePatience * decider.Settings.PreemptWait
}

const interactivePatience = 5

// press makes room for a blocked head: by reservation, or by preemption where it may.
func (decider *Decider) press(head *Task, now time.Time) {
	waited := now.Sub(head.Queued)
	switch {
	case decider.holds(head):
		decider.refresh(head, now)
	case head.Class <= Interactive && waited >= decider.preemptWait(head.Class):
		decider.preempt(head, now, lowerVictim)
	case waited >= decider.Settings.ReserveWait:
		if !decider.reclaim(head, now) {
			decider.reserve(head, now)
		}
	}
}
