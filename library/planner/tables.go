package planner

import (
	"slices"
	"time"
)

// row is one job with its progress.
type row struct {
	Job
	state       State
	shown       State // as stored
	shownBatch  int64 // that stored it
	occurrences map[int]*occurrence
	next        int // occurrence that is due next
	ended       int // occurrences that are completed
	endedAt     int64
	batch       int64 // that stores its latest change
}

// occurrence is one run through a job's steps.
type occurrence struct {
	number int
	due    time.Time
	steps  []*step
	done   int    // steps completed
	zone   string // availability zone of its first run
}

// step is one step of an occurrence with its tasks.
type step struct {
	*Step
	key     StepKey
	job     *row
	of      *occurrence
	tasks   []task
	waiting []int // tasks to start, in order
	open    int   // runs that exist or may exist
	done    int
	begun   bool // all steps before it are completed
	began   time.Time
	gang    int // number of the gang's last run
	policy  policyAnswer
	blocked time.Time // when it was first found without room
	passed  int64     // number of the pass in which it last found no room
	took    []took
}

// took is how long a task ran on a worker.
type took struct {
	worker  string
	seconds float64
}

// task is one task of a step.
type task struct {
	number     int // of its last run
	failures   int
	done       bool
	checkpoint string
	run        *Run
	copy       *Run     // started beside run, where the step allows it
	failedOn   []string // workers
}

// policyAnswer is what is known of the workers that may run a step.
type policyAnswer struct {
	allowed map[string]ticket
	denied  map[string]bool
	asked   time.Time // zero while no question is open
}

type ticket struct {
	text  string
	born  int64
	until time.Time
}

func (planner *Planner) newOccurrence(row *row, number int, due time.Time) *occurrence {
	made := &occurrence{number: number, due: due}
	for index := range row.Steps {
		key := StepKey{Job: row.ID, Occurrence: number, Step: index}
		made.steps = append(made.steps, &step{
			Step:  &row.Steps[index],
			key:   key,
			job:   row,
			of:    made,
			tasks: make([]task, row.Steps[index].Count),
		})
	}
	row.occurrences[number] = made
	return made
}

// begin puts the steps whose turn has come among those to place.
func (planner *Planner) begin(of *occurrence, now time.Time) {
	for _, step := range of.steps {
		if step.begun || !of.ready(step) {
			continue
		}
		step.begun, step.began = true, now
		step.waiting = step.waiting[:0]
		for index := range step.tasks {
			if !step.tasks[index].done && step.tasks[index].run == nil {
				step.waiting = append(step.waiting, index)
			}
		}
		planner.steps[step.key] = step
	}
}

func (occurrence *occurrence) ready(step *step) bool {
	for _, earlier := range step.After {
		if occurrence.steps[earlier].done < occurrence.steps[earlier].Count {
			return false
		}
	}
	return true
}

// wait puts a task back among those to start.
func (step *step) wait(index int) {
	if step.job.state.Final() || step.tasks[index].done || step.tasks[index].run != nil || slices.Contains(step.waiting, index) {
		return
	}
	step.waiting = append(step.waiting, index)
}

// open returns the run of a key when it has the given number.
func (planner *Planner) openRun(key TaskKey, number int) (*step, *Run) {
	step := planner.steps[key.step()]
	if step == nil || key.Index >= len(step.tasks) {
		return nil, nil
	}
	for _, run := range step.tasks[key.Index].runs() {
		if run.Number == number {
			return step, run
		}
	}
	return step, nil
}

// runs returns the open runs of a task.
func (task *task) runs() []*Run {
	switch {
	case task.run == nil:
		return nil
	case task.copy == nil:
		return []*Run{task.run}
	}
	return []*Run{task.run, task.copy}
}

// attach adds a run to the open ones of its task.
func (planner *Planner) attach(step *step, run *Run) {
	if task := &step.tasks[run.Key.Index]; task.run == nil {
		task.run = run
	} else {
		task.copy = run
	}
	step.open++
	planner.worker(run.Worker).add(run)
	owner := planner.team(step.job.Team)
	owner.used = owner.used.Add(run.Size)
}

// detach closes an open run of a task.
func (planner *Planner) detach(step *step, run *Run) {
	task := &step.tasks[run.Key.Index]
	if task.run == run {
		task.run = task.copy
	}
	task.copy = nil
	step.open--
	planner.worker(run.Worker).remove(run)
	owner := planner.team(step.job.Team)
	owner.used = owner.used.Sub(run.Size)
}

// worker returns a row, which is made where a stored run names a worker that is not listed.
func (planner *Planner) worker(id string) *Worker {
	if worker := planner.workers[id]; worker != nil {
		return worker
	}
	worker := planner.newWorker(id)
	worker.unlisted = planner.now
	planner.names = append(planner.names, id)
	slices.Sort(planner.names)
	return worker
}

// touch marks a job's progress as changed, so that the next batch stores it.
func (planner *Planner) touch(row *row) {
	planner.dirty[row.ID] = true
	row.batch = planner.batch + 1
}
