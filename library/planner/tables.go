package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/partitioner"
	"ebonyshunt.org/library/permitter"
	"ebonyshunt.org/library/tracker"
)

// jobEntry is a job with its progress, a row of the job table.
type jobEntry struct {
	Job
	state State
	// begun reports whether a worker told that a task of the job was started there.
	begun bool
	// storedState is the state in the journal, written by the batch with number storedStateBatch.
	storedState      State
	storedStateBatch int64
	// occurrences holds the created occurrences, by number, until they are completed and none of their runs is open.
	occurrences map[int]*occurrence
	// nextOccurrence is the number of the next occurrence to create.
	nextOccurrence       int
	completedOccurrences int
	endedAtMS            int64 // Unix milliseconds
	acceptedAt           time.Time
	// lastChangeBatch is the number of the batch that stores the latest change of the job.
	lastChangeBatch int64
	// unstorable reports whether the journal did not take a record of the job, which has therefore failed.
	unstorable bool
	// countedBytes is the memory of the job that Planner.jobBytes contains.
	countedBytes int
	// layout divides the tasks of each occurrence into parts with records of their own, see parts.go. It is nil for a job whose
	// progress is one record.
	layout *partitioner.Layout
	parts  partitioner.Tracker
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	number         int
	due            time.Time
	steps          []*step
	completedSteps int
	zone           string // availability zone of its first run
}

// step is one step of an occurrence with its tasks.
type step struct {
	*Step
	key            StepKey
	job            *jobEntry
	occurrence     *occurrence
	tasks          []task
	waiting        []int // indexes of the tasks to start, in order
	openCount      int   // number of runs that exist or may exist
	completedTasks int
	active         bool         // whether all steps that it depends on are completed
	gang           tracker.Gang // if it is a gang
	policy         permitter.Permissions
	// suspected reports whether a worker crashed, or may have crashed, under one of its tasks.
	suspected bool
	// blockedSince is when placement first found no room for the step, zero while it is not blocked.
	blockedSince time.Time
	// blockedPass is the number of the last placement pass that found no room for the step.
	blockedPass int64
	// examinedPass is the number of the last placement pass that looked at the step.
	examinedPass int64
	// searchedPass is the number of the last placement pass that searched for workers to make room for the step on.
	searchedPass int64
	charged      stepAccount // account that its tasks are charged to, if teams have shares of each service
	promised     int         // number of tasks for which room is being given back
	futileAt     time.Time   // when it was last found that stopping runs makes no room for it
	// runTimes holds the run times of the completed tasks until they are compared.
	runTimes []runTime
}

// runTime is the time that a completed task took on a worker.
type runTime struct {
	worker  string
	seconds float64
}

// task is one task of a step.
type task struct {
	tracker.Task
	run    *Run        // open run, nil if none
	copy   *Run        // open speculative second run, nil if none
	hedges *taskHedges // copies and moves for being late, nil if none, see stragglers.go
}

func (planner *Planner) newOccurrence(entry *jobEntry, number int, due time.Time) *occurrence {
	occurrence := &occurrence{number: number, due: due}
	for index := range entry.Steps {
		key := StepKey{Job: entry.ID, Occurrence: number, Step: index}
		occurrence.steps = append(occurrence.steps, &step{
			Step:       &entry.Steps[index],
			key:        key,
			job:        entry,
			occurrence: occurrence,
			tasks:      make([]task, entry.Steps[index].Count),
		})
	}
	entry.occurrences[number] = occurrence
	planner.taskCount += entry.taskCount()
	return occurrence
}

// removeOccurrence removes an occurrence from memory, and its parts from the journal.
func (planner *Planner) removeOccurrence(occurrence *occurrence, entry *jobEntry) {
	if entry.occurrences[occurrence.number] != occurrence {
		return
	}
	delete(entry.occurrences, occurrence.number)
	planner.taskCount -= entry.taskCount()
	entry.parts.TouchStored(func(part partitioner.Part) bool { return part.Occurrence == occurrence.number })
}

// activateSteps makes the steps whose dependencies are completed available to placement.
func (planner *Planner) activateSteps(occurrence *occurrence) {
	for _, step := range occurrence.steps {
		if step.active || !occurrence.ready(step) {
			continue
		}
		step.active = true
		step.waiting = step.waiting[:0]
		for index := range step.tasks {
			if !step.tasks[index].Done && step.tasks[index].run == nil {
				step.waiting = append(step.waiting, index)
			}
		}
		planner.steps[step.key] = step
	}
}

// ready reports whether all steps that a step depends on are completed.
func (occurrence *occurrence) ready(step *step) bool {
	for _, earlier := range step.DependsOn {
		if occurrence.steps[earlier].completedTasks < occurrence.steps[earlier].Count {
			return false
		}
	}
	return true
}

// enqueue adds a task to those to start, unless its job has ended, it is done, or it runs or waits already.
func (step *step) enqueue(index int) {
	if step.job.state.Final() || step.tasks[index].Done || step.tasks[index].run != nil || slices.Contains(step.waiting, index) {
		return
	}
	step.waiting = append(step.waiting, index)
}

// openRun returns the open run of a task that has the given number, or nil, and the task's step, or nil if the
// step is not active.
func (planner *Planner) openRun(key TaskKey, number int) (*step, *Run) {
	step := planner.steps[key.step()]
	if step == nil || key.Index >= len(step.tasks) {
		return nil, nil
	}
	for _, run := range step.tasks[key.Index].openRuns() {
		if run.Number == number {
			return step, run
		}
	}
	return step, nil
}

// openRuns returns the open runs of a task: none, its run, or its run and the copy.
func (task *task) openRuns() []*Run {
	switch {
	case task.run == nil:
		return nil
	case task.copy == nil:
		return []*Run{task.run}
	}
	return []*Run{task.run, task.copy}
}

// addRun adds an open run to its task and worker, and charges the size of its step to the job's team: fillers too, which
// take no processors of a worker's capacity.
func (planner *Planner) addRun(step *step, run *Run) {
	if task := &step.tasks[run.Key.Index]; task.run == nil {
		task.run = run
	} else {
		task.copy = run
	}
	step.openCount++
	step.touch(run.Key.Index)
	planner.ensureWorker(run.Worker).addRun(run)
	usage := planner.ensureTeam(step.job.Team)
	usage.used = usage.used.Add(step.Size)
	if planner.Settings.PoolShares {
		planner.charge(step, run)
	}
}

// removeRun undoes addRun. If the first run of a task is removed, its copy becomes the first.
func (planner *Planner) removeRun(step *step, run *Run) {
	task := &step.tasks[run.Key.Index]
	if task.run == run {
		task.run = task.copy
	}
	task.copy = nil
	step.openCount--
	step.touch(run.Key.Index)
	planner.ensureWorker(run.Worker).removeRun(run)
	usage := planner.ensureTeam(step.job.Team)
	usage.used = usage.used.Sub(step.Size)
	run.discharge()
}

// ensureWorker returns the entry of a worker and creates it if needed: a stored run may name a worker that is not
// listed.
func (planner *Planner) ensureWorker(id string) *Worker {
	if worker := planner.workers[id]; worker != nil {
		return worker
	}
	worker := planner.newWorker(id)
	worker.unlistedSince = planner.now
	planner.sortWorkers()
	return worker
}

// markDirty marks a job's progress as changed; the next batch stores it.
func (planner *Planner) markDirty(entry *jobEntry) {
	planner.dirty[entry.ID] = true
	entry.lastChangeBatch = planner.lastBatch + 1
}
