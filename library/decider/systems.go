package decider

import (
	"container/heap"
	"math"
	"time"
)

// Tick runs one scheduling cycle over the tables and returns the effects to carry out, in order.
func (decider *Decider) Tick(now time.Time) []Effect {
	decider.Counters.Ticks++
	decider.enqueueDeferred(now)
	decider.expireDeadlines(now)
	decider.expireLeases(now)
	decider.updateAverageShares(now)
	decider.placeTasks(now)
	effects := decider.effects
	decider.effects = nil
	return effects
}

// expireDeadlines drops queued tasks whose deadline for the start has passed.
func (decider *Decider) expireDeadlines(now time.Time) {
	for decider.deadlines.Len() > 0 {
		first := decider.deadlines[0]
		if first.queueElement != nil && first.Deadline.After(now) {
			return
		}
		heap.Pop(&decider.deadlines)
		if first.queueElement != nil {
			decider.dropQueued(first)
			decider.emit(Expired{Work: first.Work})
		}
	}
}

// expireLeases ends the tasks of workers that have not reported for a lease duration, once the tasks' leases
// have certainly expired. Nothing is known of the leases on a worker that has not reported to this decider yet.
func (decider *Decider) expireLeases(now time.Time) {
	for _, name := range decider.workerNames {
		worker := decider.workers[name]
		if len(worker.Tasks) == 0 || worker.Boot == "" || now.Sub(worker.ReportedAt) < decider.Settings.TaskLeaseDuration {
			continue
		}
		for _, id := range sortedIDs(worker.Tasks) {
			task := worker.Tasks[id]
			if worker.leaseExpired(max(worker.LeaseEnd, task.Grant.LeaseEnd), now) {
				decider.endAttempt(task, Vanished, 0, "", now)
			}
		}
	}
}

// updateAverageShares updates each team's exponentially weighted average of its dominant share.
func (decider *Decider) updateAverageShares(now time.Time) {
	elapsed := now.Sub(decider.averagedAt)
	if elapsed < averageInterval {
		return
	}
	decider.averagedAt = now
	decay := math.Exp2(-elapsed.Seconds() / decider.Settings.ShareHalfLife.Seconds())
	for _, team := range decider.teams {
		share := team.Used.DominantShare(decider.totalCapacity)
		team.AverageShare = decay*team.AverageShare + (1-decay)*share
	}
}

// averageInterval is the minimum time between updates of the average shares.
const averageInterval = time.Second

// placeTasks grants queued tasks in scheduling order until no more fit.
func (decider *Decider) placeTasks(now time.Time) {
	if len(decider.taskQueues) == 0 {
		return
	}
	taskQueues := make(taskQueueHeap, 0, len(decider.taskQueues))
	for _, taskQueue := range decider.taskQueues {
		decider.updateOrder(taskQueue, now)
		taskQueues = append(taskQueues, taskQueue)
	}
	heap.Init(&taskQueues)
	clear(decider.blockedShapes)
	for taskQueue := decider.popNext(&taskQueues, now); taskQueue != nil; taskQueue = decider.popNext(&taskQueues, now) {
		if !decider.placeHead(taskQueue, now) {
			continue
		}
		if taskQueue.tasks.Len() > 0 {
			heap.Push(&taskQueues, taskQueue)
		}
	}
}

// placeHead grants the head of a queue, or its whole gang, and reports whether it did. If no worker has room
// it tries to make room for a later tick.
func (decider *Decider) placeHead(taskQueue *taskQueue, now time.Time) bool {
	head := taskQueue.head()
	count := max(1, head.Gang)
	if taskQueue.tasks.Len() < count {
		return false
	}
	team := decider.ensureTeam(head.Team)
	if !team.hasRoom(head.Size.Mul(int64(count)), decider.unclaimedCapacity) {
		return false
	}
	if head.Gang > 0 {
		return decider.placeGang(taskQueue, count, now)
	}
	shape := shape{service: head.Service, size: head.Size}
	if decider.blockedShapes[shape] && !decider.hasReservation(head) {
		decider.makeRoom(head, now)
		return false
	}
	worker := decider.chooseWorker(head, now)
	if worker == nil {
		decider.blockedShapes[shape] = true
		decider.makeRoom(head, now)
		return false
	}
	decider.cancelReservations(head.ID)
	decider.grant(head, worker, now)
	return true
}

// preemptionDelay returns the queueing time after which urgent or interactive work preempts batch and
// standing work.
func (decider *Decider) preemptionDelay(class Class) time.Duration {
	if class == Urgent {
		return decider.Settings.PreemptionDelay
	}
	return interactiveDelayFactor * decider.Settings.PreemptionDelay
}

// interactiveDelayFactor is the preemption delay of interactive work as a multiple of that of urgent work.
const interactiveDelayFactor = 5

// makeRoom tries to free capacity for a blocked task. Urgent and interactive work preempts lower classes
// after its preemption delay. Other work, after the reservation delay, reclaims capacity from teams above
// their fair shares or else reserves a worker. An existing reservation is refreshed.
func (decider *Decider) makeRoom(head *Task, now time.Time) {
	waited := now.Sub(head.QueuedAt)
	switch {
	case decider.hasReservation(head):
		decider.refreshReservation(head, now)
	case head.Class <= Interactive && waited >= decider.preemptionDelay(head.Class):
		decider.preempt(head, now, isLowerClassVictim)
	case waited >= decider.Settings.ReservationDelay:
		if !decider.reclaimShare(head, now) {
			decider.reserveSoonest(head, now)
		}
	}
}
