package planner

import (
	"maps"
	"slices"
	"time"
)

// Submit takes a job in, and reports false where one of that ID is known already.
func (planner *Planner) Submit(job Job, now time.Time) bool {
	planner.now = now
	if _, known := planner.jobs[job.ID]; known {
		return false
	}
	job.AcceptedMS = now.UnixMilli()
	job.Excess = !planner.owed(job.Team, now)
	row := planner.adopt(job)
	planner.fresh[job.ID] = true
	planner.touch(row)
	planner.materialize(row, now)
	return true
}

// Withdraw takes a job back that no batch was taken for, and reports whether it did: then it never was and
// never will be accepted.
func (planner *Planner) Withdraw(id string) bool {
	row := planner.jobs[id]
	if row == nil || !planner.fresh[id] {
		return false
	}
	for _, occurrence := range row.occurrences {
		for _, step := range occurrence.steps {
			if step.open > 0 {
				return false
			}
			delete(planner.steps, step.key)
		}
	}
	delete(planner.jobs, id)
	delete(planner.fresh, id)
	delete(planner.dirty, id)
	delete(planner.timed, id)
	return true
}

// adopt puts a job into the table.
func (planner *Planner) adopt(job Job) *row {
	row := &row{Job: job, state: Queued, shown: Queued, occurrences: map[int]*occurrence{}}
	planner.jobs[job.ID] = row
	return row
}

// owedBurst is the time over which a team's rate of jobs is evened out.
const owedBurst = 3 * time.Second

// owed takes a job from what its team is owed by its weight, and reports false where it goes beyond.
func (planner *Planner) owed(name string, now time.Time) bool {
	info, found := planner.catalog.Teams[name]
	if !found || info.Weight <= 0 {
		return true
	}
	row := planner.team(name)
	most := max(1, info.Weight*owedBurst.Seconds())
	if row.filled.IsZero() {
		row.tokens = most
	} else {
		row.tokens = min(most, row.tokens+info.Weight*now.Sub(row.filled).Seconds())
	}
	row.filled = now
	if row.tokens < 1 {
		return false
	}
	row.tokens--
	return true
}

// materialize makes the occurrences that are due.
func (planner *Planner) materialize(row *row, now time.Time) {
	if row.Runs == 0 {
		if row.next == 0 {
			row.next = 1
			planner.begin(planner.newOccurrence(row, 0, time.UnixMilli(row.AcceptedMS)), now)
		}
		return
	}
	for row.next < row.Runs {
		due := time.UnixMilli(row.FirstRunMS + int64(row.next)*row.IntervalMS)
		if due.After(now) {
			planner.timed[row.ID] = row
			return
		}
		planner.begin(planner.newOccurrence(row, row.next, due), now)
		row.next++
		planner.touch(row)
	}
	delete(planner.timed, row.ID)
}

// occurrences returns how many occurrences a job has in all.
func (job *Job) occurrences() int { return max(1, job.Runs) }

// Cancel ends a job, and reports false where no such job is known. A job that has ended stays as it is.
func (planner *Planner) Cancel(id string, now time.Time) bool {
	planner.now = now
	row, known := planner.jobs[id]
	if !known {
		return false
	}
	if !row.state.Final() {
		planner.finish(row, Canceled, now)
	}
	return true
}

// finish puts a job into a final state and stops what still runs of it.
func (planner *Planner) finish(row *row, state State, now time.Time) {
	row.state = state
	row.endedAt = now.UnixMilli()
	planner.touch(row)
	planner.notes = append(planner.notes, Note{
		Job: row.ID, Queue: row.Queue, Team: row.Team, State: state, Took: now.Sub(time.UnixMilli(row.AcceptedMS)),
	})
	delete(planner.timed, row.ID)
	for _, number := range slices.Sorted(maps.Keys(row.occurrences)) {
		for _, step := range row.occurrences[number].steps {
			step.waiting = nil
			for index := range step.tasks {
				for _, run := range step.tasks[index].runs() {
					planner.stop(run, now)
				}
			}
			if step.open == 0 {
				delete(planner.steps, step.key)
			}
		}
	}
	planner.retired = append(planner.retired, retiredJob{id: row.ID, at: now})
}

// forget drops the jobs whose state was kept for long enough.
func (planner *Planner) forget(now time.Time) {
	for len(planner.retired) > 0 && now.Sub(planner.retired[0].at) > planner.Settings.StatusFor {
		id := planner.retired[0].id
		planner.retired = planner.retired[1:]
		delete(planner.jobs, id)
		delete(planner.dirty, id)
		planner.drop = append(planner.drop, id)
	}
}

// stopAgain is the time after which an order to stop that had no effect is repeated.
const stopAgain = 400 * time.Millisecond

// stop orders the end of a run.
func (planner *Planner) stop(run *Run, now time.Time) {
	run.Stopping = true
	if !run.StopSent.IsZero() && now.Sub(run.StopSent) < stopAgain {
		return
	}
	run.StopSent = now
	worker := planner.worker(run.Worker)
	planner.effects = append(planner.effects, Stop{
		Key: run.Key, Number: run.Number, Worker: worker.ID, Address: worker.Address, Token: worker.Token,
	})
}
