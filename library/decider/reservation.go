package decider

import (
	"slices"
	"time"
)

// reservation keeps a worker's capacity for a work item or gang that waits for room there (backfill
// scheduling): other tasks start on the worker only if they are expected to end before it is needed.
type reservation struct {
	holder      string    // work ID, or job of a gang
	readyAt     time.Time // estimate of when the worker has room
	refreshedAt time.Time // time of the estimate
}

// reservationRefreshInterval is the minimum time between comparisons of a reservation with other workers.
const reservationRefreshInterval = time.Second

// reservationHolder returns the holder of the task's reservations: the job for a member of a gang, otherwise
// the work ID.
func reservationHolder(task *Task) string {
	if task.Gang > 0 {
		return task.Job
	}
	return task.ID
}

// hasReservation reports whether a worker is reserved for the task or its gang.
func (decider *Decider) hasReservation(task *Task) bool {
	return decider.reservationCounts[reservationHolder(task)] > 0
}

// reservationAdmits reports whether a task may start on a worker that may be reserved: it may if the worker is
// not reserved for others, or if the task is expected to end before the reservation's readyAt.
func (decider *Decider) reservationAdmits(worker *Worker, task *Task, now time.Time) bool {
	held := worker.reserved
	if held == nil || held.holder == reservationHolder(task) {
		return true
	}
	return now.Add(decider.expectedRun(task)).Before(held.readyAt)
}

// reserveWorker reserves a worker for the task or its gang.
func (decider *Decider) reserveWorker(worker *Worker, task *Task, ready, now time.Time) {
	worker.reserved = &reservation{holder: reservationHolder(task), readyAt: ready, refreshedAt: now}
	decider.reservationCounts[reservationHolder(task)]++
}

// cancelReservations removes all reservations of a work item or a gang's job.
func (decider *Decider) cancelReservations(holder string) {
	if decider.reservationCounts[holder] == 0 {
		return
	}
	delete(decider.reservationCounts, holder)
	for _, worker := range decider.workers {
		if worker.reserved != nil && worker.reserved.holder == holder {
			worker.reserved = nil
		}
	}
}

// reserveSoonest reserves the worker that is expected to have room for the task first, if any is large enough.
func (decider *Decider) reserveSoonest(task *Task, now time.Time) {
	if worker, ready := decider.findSoonestWorker(task, now); worker != nil {
		decider.reserveWorker(worker, task, ready, now)
	}
}

// findSoonestWorker returns the usable, unreserved worker that is expected to have room for the task first, and
// when, or nil if no such worker is large enough.
func (decider *Decider) findSoonestWorker(task *Task, now time.Time) (*Worker, time.Time) {
	var best *Worker
	var bestReady time.Time
	for _, worker := range decider.ensureService(task.Service).workers {
		decider.Counters.Examined++
		if !worker.Usable(now) || worker.reserved != nil || slices.Contains(task.Avoid, worker.Name) {
			continue
		}
		ready, fits := decider.estimateReady(worker, task.Size, now)
		if fits && (best == nil || ready.Before(bestReady)) {
			best, bestReady = worker, ready
		}
	}
	return best, bestReady
}

// refreshReservation updates the estimates of the task's reservations. It cancels them if none of their workers
// is usable any more, or if another worker is expected to have room in less than half the time.
func (decider *Decider) refreshReservation(task *Task, now time.Time) {
	holder := reservationHolder(task)
	held := slices.ContainsFunc(decider.workerNames, func(worker string) bool {
		row := decider.workers[worker]
		return row.reserved != nil && row.reserved.holder == holder && row.Usable(now)
	})
	if !held {
		decider.cancelReservations(holder)
		return
	}
	for _, worker := range decider.workers {
		if worker.reserved == nil || worker.reserved.holder != holder || now.Sub(worker.reserved.refreshedAt) < reservationRefreshInterval {
			continue
		}
		worker.reserved.refreshedAt = now
		ready, _ := decider.estimateReady(worker, task.Size, now)
		worker.reserved.readyAt = ready
		other, otherReady := decider.findSoonestWorker(task, now)
		if other != nil && 2*otherReady.Sub(now) < ready.Sub(now) {
			decider.cancelReservations(holder)
			return
		}
	}
}

// reservationsUsable reports whether all workers that were reserved for the task or its gang are still usable.
func (decider *Decider) reservationsUsable(task *Task, now time.Time) bool {
	holder := reservationHolder(task)
	usable := 0
	for _, worker := range decider.workers {
		if worker.reserved != nil && worker.reserved.holder == holder && worker.Usable(now) {
			usable++
		}
	}
	return usable == decider.reservationCounts[holder]
}

// placeGang grants all tasks of a gang at once, or none, and reports whether it did. Only one blocked gang
// reserves workers at a time, as two could deadlock, each with half of the workers that both need.
func (decider *Decider) placeGang(taskQueue *taskQueue, count int, now time.Time) bool {
	members := make([]*Task, 0, count)
	for element := taskQueue.tasks.Front(); len(members) < count; element = element.Next() {
		members = append(members, element.Value.(*Task))
	}
	workers := decider.chooseGangWorkers(members, now)
	if workers == nil {
		decider.reserveForGang(members[0], count, now)
		return false
	}
	decider.cancelReservations(members[0].Job)
	if decider.reservingGang == members[0].Job {
		decider.reservingGang = ""
	}
	for i, member := range members {
		decider.grant(member, workers[i], now)
	}
	return true
}

// chooseGangWorkers returns a worker for each member, or nil if not all members fit. While it chooses, it
// counts the members that are placed already as granted.
func (decider *Decider) chooseGangWorkers(members []*Task, now time.Time) []*Worker {
	workers := make([]*Worker, 0, len(members))
	for _, member := range members {
		worker := decider.chooseWorker(member, now)
		if worker == nil {
			break
		}
		worker.Granted = worker.Granted.Add(member.Size)
		workers = append(workers, worker)
	}
	for i, worker := range workers {
		worker.Granted = worker.Granted.Sub(members[i].Size)
	}
	if len(workers) < len(members) {
		return nil
	}
	return workers
}

// reserveForGang reserves enough workers for the whole gang, or none, once the gang has waited for the
// reservation delay. It reserves anew if a reserved worker is no longer usable. It does nothing while another gang holds
// reservations.
func (decider *Decider) reserveForGang(head *Task, count int, now time.Time) {
	waited := now.Sub(head.QueuedAt)
	if waited < decider.Settings.ReservationDelay {
		return
	}
	if decider.hasReservation(head) {
		if decider.reservationsUsable(head, now) {
			return
		}
		decider.cancelReservations(head.Job)
	}
	if decider.reservingGang != "" && decider.reservationCounts[decider.reservingGang] > 0 {
		return
	}
	decider.reservingGang = head.Job
	for remaining := count; remaining > 0; {
		worker, ready := decider.findSoonestWorker(head, now)
		if worker == nil {
			decider.cancelReservations(head.Job)
			return
		}
		decider.reserveWorker(worker, head, ready, now)
		remaining -= countFitting(worker, head)
	}
}

// countFitting returns how many tasks of the given one's size fit on the worker when it is idle, but at least 1.
func countFitting(worker *Worker, task *Task) int {
	count := 0
	for used := task.Size; used.Fits(worker.Capacity); used = used.Add(task.Size) {
		count++
	}
	return max(1, count)
}
