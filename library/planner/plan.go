package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// Plan runs the systems over the tables: what is due, what has lapsed, what hangs, and what starts where.
func (planner *Planner) Plan(now time.Time) {
	planner.now = now
	for _, id := range slices.Sorted(maps.Keys(planner.timed)) {
		planner.materialize(planner.timed[id], now)
	}
	planner.expire(now)
	planner.forget(now)
	planner.restart(now)
	planner.evacuate(now)
	planner.passes++
	pass := &pass{
		number: planner.passes, planner: planner, now: now, held: map[string]bool{},
		promised: map[string]sizer.Size{}, pools: map[string]*pool{},
	}
	pass.run(planner.ordered(now))
}

// rank orders steps; lower comes first.
type rank struct {
	tier     int // 0 for what is owed and may still be in time
	priority int
	deadline time.Time
}

const (
	tierOwed = iota
	tierExcess
	tierHopeless
)

func (rank rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(rank.tier, other.tier), cmp.Compare(rank.priority, other.priority),
		rank.deadline.Compare(other.deadline))
}

// hopelessFactor is the multiple of its objective after which a job earns its caller nothing.
const hopelessFactor = 3

func (planner *Planner) rank(step *step, now time.Time) rank {
	queue, _ := planner.catalog.Queue(step.job.Queue)
	objective := planner.objective(step.job, queue)
	made := rank{priority: queue.Priority, deadline: step.of.due.Add(objective)}
	switch {
	case step.Standing:
		made.priority = min(made.priority, 0)
	case now.Sub(step.of.due) > hopelessFactor*objective:
		made.tier = tierHopeless
	case step.job.Excess:
		made.tier = tierExcess
	}
	return made
}

// objective returns within what time a job should be completed.
func (planner *Planner) objective(row *row, queue Queue) time.Duration {
	chain := make([]time.Duration, len(row.Steps))
	longest := time.Duration(0)
	for number := range row.Steps {
		step := &row.Steps[number]
		for _, earlier := range step.After {
			chain[number] = max(chain[number], chain[earlier])
		}
		chain[number] += planner.expected(step, row.Queue)
		longest = max(longest, chain[number])
	}
	return time.Duration(max(queue.Stretch, 1)*float64(longest)) + queue.TargetLatency
}

// ranked is a step with its rank.
type ranked struct {
	step *step
	rank rank
}

// ordered returns the steps that have tasks to start, most pressing first.
func (planner *Planner) ordered(now time.Time) []ranked {
	var all []ranked
	for _, step := range planner.steps {
		if len(step.waiting) > 0 && (!step.Gang || step.open == 0) {
			all = append(all, ranked{step, planner.rank(step, now)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.step.key.Job, b.step.key.Job),
			cmp.Compare(a.step.key.Occurrence, b.step.key.Occurrence), cmp.Compare(a.step.key.Step, b.step.key.Step))
	})
	return all
}

const (
	// hangAfter and hangFactor bound how long a run may show no progress before it is started elsewhere.
	hangAfter  = 2500 * time.Millisecond
	hangFactor = 1.0 // of its expected run time
)

// restartEvery is the time between two searches for runs that stand still.
const restartEvery = 200 * time.Millisecond

// restart stops the runs that stand still.
func (planner *Planner) restart(now time.Time) {
	if now.Sub(planner.restarted) < restartEvery {
		return
	}
	planner.restarted = now
	for _, id := range planner.names {
		worker := planner.workers[id]
		if !worker.Looked {
			continue
		}
		for _, run := range worker.sorted() {
			if planner.hangs(run, now) {
				worker.health.fail(run.Key.Job, now)
				planner.stop(run, now)
			}
		}
	}
}

// hangs reports whether a run shows no progress for longer than its kind may take.
func (planner *Planner) hangs(run *Run, now time.Time) bool {
	if !run.Started || run.Stopping || now.Sub(run.Moved) < hangAfter {
		return false
	}
	step := planner.steps[run.Key.step()]
	if step == nil || step.Standing || step.Gang {
		return false
	}
	patience := time.Duration(hangFactor * float64(planner.expected(step.Step, step.job.Queue)))
	return now.Sub(run.Moved) > max(hangAfter, patience)
}

// evacuate moves work off the workers that drain: standing runs while enough of their step are at work,
// and runs with checkpoints that would not end in time.
func (planner *Planner) evacuate(now time.Time) {
	for _, id := range planner.names {
		worker := planner.workers[id]
		if !worker.Draining || !worker.Listed {
			continue
		}
		left := worker.DrainsAt.Add(worker.LeavesIn).Sub(now) - planner.Settings.StopTime
		for _, run := range worker.sorted() {
			step := planner.steps[run.Key.step()]
			if step == nil || run.Stopping || !run.Started {
				continue
			}
			if step.Standing && planner.maySpare(step, now) || planner.savesBefore(step, run, left, now) {
				planner.stop(run, now)
			}
		}
	}
}

func (planner *Planner) savesBefore(step *step, run *Run, left time.Duration, now time.Time) bool {
	if step.Standing || !step.Checkpoints || left > evacuateBefore {
		return false
	}
	return run.Began.Add(planner.expected(step.Step, step.job.Queue)).Sub(now) > left
}

// evacuateBefore is the time left on a draining worker at which long work is saved and moved.
const evacuateBefore = time.Second

// maySpare reports whether one more task of a standing step may be away through our doing.
func (planner *Planner) maySpare(step *step, now time.Time) bool {
	away := 0
	for index := range step.tasks {
		run := step.tasks[index].run
		if run == nil || run.Stopping || !run.Started || run.Percent < 100 || now.Sub(run.Began) < settleTime {
			away++
		}
	}
	return away < step.MostAway
}

// settleTime is how long a standing task has to run before it counts as at work again.
const settleTime = 1500 * time.Millisecond
