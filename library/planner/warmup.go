package planner

import "time"

// A worker is cold for some time after it starts: it runs tasks more slowly than once it is warm. Its registration states the
// time left.

// noteCold records for how long a worker is still slow, as of a new registration. The duration of the whole warm-up, which
// registrations do not state, is taken to be the longest time that one has stated since the worker was last warm. A planner
// that begins in the middle of a warm-up takes it for shorter, and so admits less work than it could until it ends.
func (worker *Worker) noteCold(left time.Duration, now time.Time) {
	if left == worker.ColdLeft && worker.Listed {
		return // the registration has not changed since
	}
	if !worker.cold(now) {
		worker.warmUpTime = 0
	}
	worker.coldUntil = now.Add(left)
	worker.warmUpTime = max(worker.warmUpTime, left)
}

// cold reports whether the worker is still slow after a start.
func (worker *Worker) cold(now time.Time) bool { return now.Before(worker.coldUntil) }

// admittedWhileCold reports whether a cold worker may get one more task of the step, in addition to the assigned ones, which have
// no runs yet. Urgent tasks are admitted, since they get a cold worker only if no warm one has room. With any other task, the
// worker's use has to stay within the share of its warm-up that is over.
func (pass *pass) admittedWhileCold(step *step, queue Queue, worker *Worker, assigned int) bool {
	if !worker.cold(pass.now) || queue.Priority == 0 && !step.Standing {
		return true
	}
	over := 1 - float64(worker.coldUntil.Sub(pass.now))/float64(max(worker.warmUpTime, 1))
	used := worker.Used.Add(step.chargedSize().Mul(int64(assigned + 1)))
	return used.DominantShare(worker.Capacity) <= over
}
