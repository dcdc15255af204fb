// Package workerserver is a stand-in for the platform's workers, with faults that are switched on over HTTP.
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

// Faults are the ways in which a worker misbehaves; the zero value is healthy.
type Faults struct {
	FailAll bool    `json:"failAll"` // each task fails at once
	Usage   float64 `json:"usage"`   // measured usage as a multiple of the granted size, 0 for 1
}

// Worker runs tasks under leases.
type Worker struct {
	Name     string
	Capacity sizer.Size
	Speed    float64       // work done a second, relative to the declared run time
	UsageLag time.Duration // age of the usage in reports

	// Observe, where set, hears of each task that begins and ends.
	Observe func(event Observation)

	mu       sync.Mutex
	boots    int
	boot     string
	booted   time.Time
	term     fencer.Term
	sequence int64
	tasks    map[string]*task
	faults   Faults
	paused   chan struct{}
	halted   chan struct{}
	granted  sizer.Size
	excess   bool
	wait     sync.WaitGroup
}

// Observation is one beginning or end of a task.
type Observation struct {
	Worker string
	Task   string
	Label  string
	Target string // path and query of the start
	Began  bool
	State  starter.TaskState
}

type task struct {
	starter.Task
	sequence int64
	started  time.Time
	lease    time.Time
	answer   []byte
	stop     chan struct{}
	target   string
	keep     bool // stop with a checkpoint
	ended    time.Time

	forgettable bool
	resume      time.Duration
}

// New returns a worker that has just booted.
func New(name string, capacity sizer.Size) *Worker {
	worker := &Worker{Name: name, Capacity: capacity, Speed: 1}
	worker.Reboot()
	return worker
}

// Reboot forgets all tasks and the claim, and ends all connections.
func (worker *Worker) Reboot() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(worker.tasks)) {
		worker.end(worker.tasks[id], starter.Stopped, 0)
	}
	if worker.halted != nil {
		close(worker.halted)
	}
	worker.boots++
	worker.halted = make(chan struct{})
	worker.boot = fmt.Sprintf("%s-%d-%d", worker.Name, worker.boots, time.Now().UnixNano())
	worker.booted = time.Now()
	worker.term = fencer.Term{}
	worker.sequence = 0
	worker.tasks = map[string]*task{}
	worker.granted = sizer.Size{}
}

// Close stops all tasks and waits for them.
func (worker *Worker) Close() {
	worker.Resume()
	worker.Reboot()
	worker.wait.Wait()
}

// SetFaults replaces the faults.
func (worker *Worker) SetFaults(faults Faults) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.faults = faults
}

// Pause stops everything that the worker does, until Resume.
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

// Overcommitted reports whether the granted sizes ever exceeded the capacity.
func (worker *Worker) Overcommitted() bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.excess
}

// Holds reports whether a task runs here under a lease that has not lapsed.
func (worker *Worker) Holds(id string) bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	known := worker.tasks[id]
	return known != nil && known.State == starter.Running && time.Now().Before(known.lease)
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

// pass waits for the end of a pause.
func (worker *Worker) pass() {
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

func (worker *Worker) clock() int64 {
	return time.Since(worker.booted).Milliseconds()
}

// begin puts a task into the table unless the grant is refused.
func (worker *Worker) begin(grant fencer.Grant, size sizer.Size, label, target string) (*task, fencer.Refusal) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	refusal := fencer.Check(grant, worker.term, worker.boot, worker.clock())
	if refusal != fencer.Accepted {
		return nil, refusal
	}
	if _, known := worker.tasks[grant.Task]; known {
		return nil, fencer.Duplicate
	}
	worker.sequence++
	begun := &task{
		Task:     starter.Task{ID: grant.Task, State: starter.Running, Label: label, Size: size},
		sequence: worker.sequence,
		started:  time.Now(),
		lease:    worker.at(grant.LeaseEnd),
		stop:     make(chan struct{}),
		target:   target,
	}
	worker.tasks[grant.Task] = begun
	worker.granted = worker.granted.Add(size)
	worker.excess = worker.excess || !worker.granted.Fits(worker.Capacity)
	worker.observe(begun, true)
	return begun, fencer.Accepted
}

// end moves a running task to its last state; the caller holds the lock.
func (worker *Worker) end(ended *task, state starter.TaskState, status int) {
	if ended.State != starter.Running {
		return
	}
	ended.State = state
	ended.Status = status
	ended.ended = time.Now()
	if state == starter.Stopped && ended.keep {
		ended.Checkpoint = (ended.resume + time.Since(ended.started)).String()
	}
	worker.sequence++
	ended.sequence = worker.sequence
	worker.granted = worker.granted.Sub(ended.Size)
	close(ended.stop)
	worker.observe(ended, false)
}

// finish ends a task, unless it was ended before, and returns its last state.
func (worker *Worker) finish(ended *task, state starter.TaskState, status int, answer []byte) starter.TaskState {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	ended.answer = answer
	worker.end(ended, state, status)
	return ended.State
}

func (worker *Worker) observe(task *task, began bool) {
	if worker.Observe != nil {
		worker.Observe(Observation{Worker: worker.Name, Task: task.ID, Label: task.Label, Target: task.target, Began: began, State: task.State})
	}
}

// claim answers a claim with a report, or with false when a later term owns the worker.
func (worker *Worker) claim(claim starter.Claim) (starter.Report, bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if claim.Term.Less(worker.term) {
		return worker.report(worker.sequence, worker.boot), false
	}
	if claim.Boot != "" && claim.Boot != worker.boot {
		return worker.report(0, ""), true
	}
	worker.term = claim.Term
	worker.renew(worker.at(claim.LeaseEnd))
	for _, id := range claim.Forget {
		if known := worker.tasks[id]; known != nil {
			known.forgettable = true
		}
	}
	worker.forget()
	return worker.report(claim.Since, claim.Boot), true
}

// forgetAfter is how long an ended task is remembered against repeated starts, with its answer.
const forgetAfter = 10 * time.Second

func (worker *Worker) forget() {
	for id, task := range worker.tasks {
		if task.forgettable && task.State != starter.Running && time.Since(task.ended) > forgetAfter {
			delete(worker.tasks, id)
		}
	}
}

// at returns the time of a reading of the worker's clock.
func (worker *Worker) at(clock int64) time.Time {
	return worker.booted.Add(time.Duration(clock) * time.Millisecond)
}

// renew lengthens the leases that have not lapsed.
func (worker *Worker) renew(until time.Time) {
	for _, task := range worker.tasks {
		if task.State == starter.Running && task.lease.After(time.Now()) && until.After(task.lease) {
			task.lease = until
		}
	}
}

func (worker *Worker) report(since int64, boot string) starter.Report {
	whole := boot != worker.boot
	report := starter.Report{
		Worker:   worker.Name,
		Boot:     worker.boot,
		Clock:    worker.clock(),
		Term:     worker.term,
		Capacity: worker.Capacity,
		Sequence: worker.sequence,
		Full:     whole,
	}
	for _, id := range slices.Sorted(maps.Keys(worker.tasks)) {
		task := worker.tasks[id]
		if whole || task.sequence > since {
			worker.measure(task)
			report.Tasks = append(report.Tasks, task.Task)
		}
	}
	return report
}

// measure sets the usage of a task, once it is older than the lag.
func (worker *Worker) measure(task *task) {
	if time.Since(task.started) < worker.UsageLag {
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
