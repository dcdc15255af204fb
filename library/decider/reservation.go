package decider

import (
	"slices"
	"time"
)

// reservation holds a worker for a work that waits for room there.
type reservation struct {
	holder string // work, or job of a gang
	ready  time.Time
	made   time.Time
}

// refreshEvery is how often a reservation is held against the alternatives.
const refreshEvery = time.Second

// holder is what reservations for the task are made out to.
func holder(task *Task) string {
	if task.Gang > 0 {
		return task.Job
	}
	return task.ID
}

// holds reports whether a reservation for the task stands.
func (decider *Decider) holds(task *Task) bool {
	return decider.reservations[holder(task)] > 0
}

// admits reports whether reservations let the task onto the worker: it is the holder's, or it is
// expected to end before the holder has room.
func (decider *Decider) admits(worker *Worker, task *Task, now time.Time) bool {
	held := worker.reserved
	if held == nil || held.holder == holder(task) {
		return true
	}
	return now.Add(decider.expectedRun(task)).Before(held.ready)
}

func (decider *Decider) book(worker *Worker, task *Task, ready, now time.Time) {
	worker.reserved = &reservation{holder: holder(task), ready: ready, made: now}
	decider.reservations[holder(task)]++
}

// unreserve frees the workers that are held for a work or job.
func (decider *Decider) unreserve(name string) {
	if decider.reservations[name] == 0 {
		return
	}
	delete(decider.reservations, name)
	for _, worker := range decider.workers {
		if worker.reserved != nil && worker.reserved.holder == name {
			worker.reserved = nil
		}
	}
}

// reserve holds the worker that will have room soonest.
func (decider *Decider) reserve(task *Task, now time.Time) {
	if worker, ready := decider.soonest(task, now); worker != nil {
		decider.book(worker, task, ready, now)
	}
}

func (decider *Decider) soonest(task *Task, now time.Time) (*Worker, time.Time) {
	var best *Worker
	var bestReady time.Time
	for _, worker := range decider.service(task.Service).workers {
		decider.Counters.Examined++
		if !worker.Usable(now) || worker.reserved != nil || slices.Contains(task.Avoid, worker.Name) {
			continue
		}
		ready, fits := decider.ready(worker, task.Size, now)
		if fits && (best == nil || ready.Before(bestReady)) {
			best, bestReady = worker, ready
		}
	}
	return best, bestReady
}

// refresh renews the estimate of a standing reservation, and gives it up when its worker is gone or
// another worker will have room in half the time.
func (decider *Decider) refresh(task *Task, now time.Time) {
	name := holder(task)
	held := slices.ContainsFunc(decider.names, func(worker string) bool {
		row := decider.workers[worker]
		return row.reserved != nil && row.reserved.holder == name && row.Usable(now)
	})
	if !held {
		decider.unreserve(name)
		return
	}
	for _, worker := range decider.workers {
		if worker.reserved == nil || worker.reserved.holder != name || now.Sub(worker.reserved.made) < refreshEvery {
			continue
		}
		worker.reserved.made = now
		ready, _ := decider.ready(worker, task.Size, now)
		worker.reserved.ready = ready
		other, otherReady := decider.soonest(task, now)
		if other != nil && 2*otherReady.Sub(now) < ready.Sub(now) {
			decider.unreserve(name)
			return
		}
	}
}

// serveGang grants all tasks of a gang at once, or none. The oldest blocked gang alone may reserve, so
// that no two gangs each hold half of what both need.
func (decider *Decider) serveGang(lane *lane, count int, now time.Time) bool {
	members := make([]*Task, 0, count)
	for at := lane.tasks.Front(); len(members) < count; at = at.Next() {
		members = append(members, at.Value.(*Task))
	}
	placed := decider.placeGang(members, now)
	if placed == nil {
		decider.pressGang(members[0], count, now)
		return false
	}
	decider.unreserve(members[0].Job)
	if decider.gang == members[0].Job {
		decider.gang = ""
	}
	for i, member := range members {
		decider.grant(member, placed[i], now)
	}
	return true
}

// placeGang finds a worker for each member, or returns nil.
func (decider *Decider) placeGang(members []*Task, now time.Time) []*Worker {
	placed := make([]*Worker, 0, len(members))
	for _, member := range members {
		worker := decider.choose(member, now)
		if worker == nil {
			break
		}
		worker.Granted = worker.Granted.Add(member.Size)
		placed = append(placed, worker)
	}
	for i, worker := range placed {
		worker.Granted = worker.Granted.Sub(members[i].Size)
	}
	if len(placed) < len(members) {
		return nil
	}
	return placed
}

// pressGang reserves workers enough for the whole gang.
func (decider *Decider) pressGang(head *Task, count int, now time.Time) {
	waited := now.Sub(head.Queued)
	if waited < decider.Settings.ReserveWait || decider.holds(head) {
		return
	}
	if decider.gang != "" && decider.reservations[decider.gang] > 0 {
		return
	}
	decider.gang = head.Job
	for left := count; left > 0; {
		worker, ready := decider.soonest(head, now)
		if worker == nil {
			decider.unreserve(head.Job)
			return
		}
		decider.book(worker, head, ready, now)
		left -= fitting(worker, head)
	}
}

// fitting returns how many tasks of a size the whole worker could hold.
func fitting(worker *Worker, task *Task) int {
	count := 0
	for used := task.Size; used.Fits(worker.Capacity); used = used.Add(task.Size) {
		count++
	}
	return max(1, count)
}
