// Package workerserver implements a stand-in for the platform's workers, with faults that can be injected over HTTP.
package workerserver

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

// Faults configures the faults that a worker injects. The zero value injects none.
type Faults struct {
	FailAll bool    `json:"failAll"` // every task fails at once
	Usage   float64 `json:"usage"`   // reported usage as a multiple of the granted size; 0 means 1
}

// Worker simulates a worker that runs tasks under leases.
type Worker struct {
	Name     string
	Capacity sizer.Size
	Speed    float64       // declared run time of a task divided by its actual run time
	UsageLag time.Duration // age of a task from which reports contain its usage

	// Observe, if not nil, is called when a task begins and when it ends, with the worker's lock held.
	Observe func(event Observation)

	mu            sync.Mutex
	boots         int    // number of boots so far
	bootID        string // unique ID of the current boot
	bootedAt      time.Time
	term          fencer.Term // term that owns the worker
	sequence      int64       // number of the latest change of a task
	tasks         map[string]*task
	faults        Faults
	paused        chan struct{}  // closed by Resume, nil when not paused
	granted       sizer.Size     // sum of the sizes of the running tasks
	overcommitted bool           // granted has exceeded Capacity
	wait          sync.WaitGroup // of the asynchronous tasks
}

// Observation reports that a task began or ended.
type Observation struct {
	Worker string
	Task   string
	Label  string
	Target string // path and query of the start request
	Began  bool   // false for an end
	State  starter.TaskState
}

type task struct {
	starter.Task
	sequence       int64 // of the latest change
	startedAt      time.Time
	leaseEnd       time.Time
	answer         []byte
	done           chan struct{} // closed when the task ends
	target         string        // path and query of the start request
	keepCheckpoint bool          // store a checkpoint when the task is stopped
	endedAt        time.Time

	forgettable   bool          // listed in Claim.Forget: need not be reported again
	completedWork time.Duration // from the checkpoint of an earlier attempt
}

// New returns a worker that has just booted, with speed 1.
func New(name string, capacity sizer.Size) *Worker {
	worker := &Worker{Name: name, Capacity: capacity, Speed: 1}
	worker.Reboot()
	return worker
}

// Reboot stops all tasks, which aborts the responses to their starts, and discards them and the claim.
// The worker gets a new boot ID.
func (worker *Worker) Reboot() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(worker.tasks)) {
		worker.end(worker.tasks[id], starter.Stopped, 0)
	}
	worker.boots++
	worker.bootID = fmt.Sprintf("%s-%d-%d", worker.Name, worker.boots, time.Now().UnixNano())
	worker.bootedAt = time.Now()
	worker.term = fencer.Term{}
	worker.sequence = 0
	worker.tasks = map[string]*task{}
	worker.granted = sizer.Size{}
}

// Close stops all tasks and waits for the asynchronous ones to end.
func (worker *Worker) Close() {
	worker.Resume()
	worker.Reboot()
	worker.wait.Wait()
}

// SetFaults replaces the injected faults.
func (worker *Worker) SetFaults(faults Faults) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.faults = faults
}

// Pause suspends the worker until Resume: it answers no calls and its tasks do not end.
func (worker *Worker) Pause() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.paused == nil {
		worker.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (worker *Worker) Resume() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.paused != nil {
		close(worker.paused)
		worker.paused = nil
	}
}

// Overcommitted reports whether the sum of the sizes of the running tasks ever exceeded the capacity.
func (worker *Worker) Overcommitted() bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.overcommitted
}

// Holds reports whether a task runs on this worker under a lease that has not expired.
func (worker *Worker) Holds(id string) bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	known := worker.tasks[id]
	return known != nil && known.State == starter.Running && time.Now().Before(known.leaseEnd)
}

// Running returns the IDs of the running tasks.
func (worker *Worker) Running() []string {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	var running []string
	for _, id := range slices.Sorted(maps.Keys(worker.tasks)) {
		if worker.tasks[id].State == starter.Running {
			running = append(running, id)
		}
	}
	return running
}

// waitWhilePaused blocks while the worker is paused.
func (worker *Worker) waitWhilePaused() {
	for {
		worker.mu.Lock()
		paused := worker.paused
		worker.mu.Unlock()
		if paused == nil {
			return
		}
		<-paused
	}
}

// clockMS returns the time since the boot in milliseconds.
func (worker *Worker) clockMS() int64 {
	return time.Since(worker.bootedAt).Milliseconds()
}

// begin checks a grant and adds its task as running, or returns the reason of the refusal.
func (worker *Worker) begin(grant fencer.Grant, size sizer.Size, label, target string) (*task, fencer.Refusal) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	refusal := fencer.Check(grant, worker.term, worker.bootID, worker.clockMS())
	if refusal != fencer.Accepted {
		return nil, refusal
	}
	if _, known := worker.tasks[grant.Task]; known {
		return nil, fencer.Duplicate
	}
	worker.sequence++
	begun := &task{
		Task:      starter.Task{ID: grant.Task, State: starter.Running, Label: label, Size: size},
		sequence:  worker.sequence,
		startedAt: time.Now(),
		leaseEnd:  worker.timeAt(grant.LeaseEnd),
		done:      make(chan struct{}),
		target:    target,
	}
	worker.tasks[grant.Task] = begun
	worker.granted = worker.granted.Add(size)
	worker.overcommitted = worker.overcommitted || !worker.granted.Fits(worker.Capacity)
	worker.notifyObserver(begun, true)
	return begun, fencer.Accepted
}

// end moves a running task to a final state and has no effect on an ended task. Status is the HTTP status of the
// answer, 0 if there is none. The caller holds the lock.
func (worker *Worker) end(ended *task, state starter.TaskState, status int) {
	if ended.State != starter.Running {
		return
	}
	ended.State = state
	ended.Status = status
	ended.endedAt = time.Now()
	if state == starter.Stopped && ended.keepCheckpoint {
		ended.Checkpoint = (ended.completedWork + time.Since(ended.startedAt)).String()
	}
	worker.sequence++
	ended.sequence = worker.sequence
	worker.granted = worker.granted.Sub(ended.Size)
	close(ended.done)
	worker.notifyObserver(ended, false)
}

// finish stores the answer of a task, ends the task unless it has ended before, and returns its final state.
func (worker *Worker) finish(ended *task, state starter.TaskState, status int, answer []byte) starter.TaskState {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	ended.answer = answer
	worker.end(ended, state, status)
	return ended.State
}

func (worker *Worker) notifyObserver(task *task, began bool) {
	if worker.Observe != nil {
		worker.Observe(Observation{Worker: worker.Name, Task: task.ID, Label: task.Label, Target: task.target, Began: began, State: task.State})
	}
}

// claim takes or renews the ownership of the worker, sets the end of the leases and returns a report. It returns
// false if a later term owns the worker. A claim for another boot changes nothing and gets a report of all tasks.
func (worker *Worker) claim(claim starter.Claim) (starter.Report, bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if claim.Term.Less(worker.term) {
		return worker.buildReport(worker.sequence, worker.bootID), false
	}
	if claim.Boot != "" && claim.Boot != worker.bootID {
		return worker.buildReport(0, ""), true
	}
	worker.term = claim.Term
	worker.renewLeases(worker.timeAt(claim.LeaseEnd))
	for _, id := range claim.Forget {
		if known := worker.tasks[id]; known != nil {
			known.forgettable = true
		}
	}
	worker.removeEnded()
	return worker.buildReport(claim.Since, claim.Boot), true
}

// minEndedRetention is how long an ended task and its answer are kept at least, so that repeated starts are refused.
const minEndedRetention = 10 * time.Second

// removeEnded discards the forgettable tasks that ended longer than minEndedRetention ago.
func (worker *Worker) removeEnded() {
	for id, task := range worker.tasks {
		if task.forgettable && task.State != starter.Running && time.Since(task.endedAt) > minEndedRetention {
			delete(worker.tasks, id)
		}
	}
}

// timeAt converts a reading of the worker's clock, in milliseconds since the boot, to a time.
func (worker *Worker) timeAt(clockMS int64) time.Time {
	return worker.bootedAt.Add(time.Duration(clockMS) * time.Millisecond)
}

// renewLeases extends the leases that have not expired to until, and shortens none.
func (worker *Worker) renewLeases(until time.Time) {
	for _, task := range worker.tasks {
		if task.State == starter.Running && task.leaseEnd.After(time.Now()) && until.After(task.leaseEnd) {
			task.leaseEnd = until
		}
	}
}

// buildReport reports the tasks that changed after sequence number since, or all tasks if boot is not the current
// boot ID. The caller holds the lock.
func (worker *Worker) buildReport(since int64, boot string) starter.Report {
	whole := boot != worker.bootID
	report := starter.Report{
		Worker:   worker.Name,
		Boot:     worker.bootID,
		Clock:    worker.clockMS(),
		Term:     worker.term,
		Capacity: worker.Capacity,
		Sequence: worker.sequence,
		Full:     whole,
	}
	for _, id := range slices.Sorted(maps.Keys(worker.tasks)) {
		task := worker.tasks[id]
		if whole || task.sequence > since {
			worker.updateUsage(task)
			report.Tasks = append(report.Tasks, task.Task)
		}
	}
	return report
}

// updateUsage sets the usage of a task that started at least UsageLag ago.
func (worker *Worker) updateUsage(task *task) {
	if time.Since(task.startedAt) < worker.UsageLag {
		return
	}
	factor := worker.faults.Usage
	if factor == 0 {
		factor = 1
	}
	task.Used = sizer.Size{
		MilliCores:   int64(float64(task.Size.MilliCores) * factor),
		MemoryMB:     int64(float64(task.Size.MemoryMB) * factor),
		Accelerators: task.Size.Accelerators,
	}
}
