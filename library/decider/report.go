package decider

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

// Report is a worker's lease table, or the changes to it since the sequence number that a claim named.
type Report struct {
	Boot     string      // boot ID of the worker
	Clock    int64       // worker's clock, milliseconds since its boot
	Term     fencer.Term // term that owns the worker
	Sequence int64       // number of the last change in the report
	Tasks    []TaskReport
}

// TaskReport is a row of a worker's lease table.
type TaskReport struct {
	ID         string
	Label      string // work item as encoded by Label
	Size       sizer.Size
	Running    bool
	Ending     Ending // set if not running
	Status     int    // status code of the answer, 0 for none
	Checkpoint string
}

// Claim is a decider's request to a worker to accept its term, to renew its leases and to report changes.
type Claim struct {
	Worker   string
	Address  string
	Boot     string   // boot ID that is claimed, empty for any
	Since    int64    // sequence number of the last known change
	LeaseEnd int64    // new end of all leases on the worker's clock, 0 to renew none
	Forget   []string // IDs of ended tasks that the worker may drop
}

// NextClaim returns the claim to send to a worker, and false for an unknown worker. A worker that reported a
// new boot is claimed again only after half of the other claimed workers have confirmed the term since then;
// before that, the claim only requests a report.
func (decider *Decider) NextClaim(name string, now time.Time) (Claim, bool) {
	worker, found := decider.workers[name]
	if !found {
		return Claim{}, false
	}
	claim := Claim{Worker: name, Address: worker.Address, Boot: worker.Boot, Since: worker.Sequence, Forget: worker.toForget}
	worker.toForget = nil
	if worker.Boot == "" {
		return claim, true
	}
	if !worker.Claimed {
		claim.Since, claim.Boot = 0, reportOnlyBoot
		if decider.othersConfirmedSinceReboot(worker) {
			claim.Boot = ""
		}
		return claim, true
	}
	worker.LeaseEnd = worker.clockLowerBound(now) + decider.Settings.TaskLeaseDuration.Milliseconds()
	claim.LeaseEnd = worker.LeaseEnd
	return claim, true
}

// reportOnlyBoot is a boot ID that no worker has. A worker answers a claim for it with a report, but does not
// accept the term.
const reportOnlyBoot = "-"

// othersConfirmedSinceReboot reports whether at least half of the other claimed workers have reported since
// the worker's new boot was first reported.
func (decider *Decider) othersConfirmedSinceReboot(worker *Worker) bool {
	others, confirmed := 0, 0
	for _, other := range decider.workers {
		if other == worker || !other.Claimed {
			continue
		}
		others++
		if other.ReportedAt.After(worker.rebootedAt) {
			confirmed++
		}
	}
	return 2*confirmed >= others
}

// ApplyReport updates the tables by a worker's answer to a claim.
func (decider *Decider) ApplyReport(name string, report Report, now time.Time) {
	worker, found := decider.workers[name]
	if !found {
		return
	}
	if report.Boot != worker.Boot {
		decider.handleReboot(worker, report, now)
	}
	claimed := report.Term == decider.Term
	if claimed != worker.Claimed {
		worker.Claimed = claimed
		decider.sumCapacity()
	}
	worker.Clock, worker.ReportedAt, worker.Sequence = report.Clock, now, report.Sequence
	for _, reported := range report.Tasks {
		decider.reconcile(worker, reported, now)
	}
	if claimed {
		decider.expireUnreported(worker, report, now)
	}
}

// ForgetEnded lets the worker drop an ended task with its next claim. Callers use it once the end is recorded
// wherever it is needed. If that claim is lost, the worker keeps the task until it runs short of memory.
func (decider *Decider) ForgetEnded(workerName, taskID string) {
	if worker, found := decider.workers[workerName]; found {
		worker.toForget = append(worker.toForget, taskID)
	}
}

// handleReboot records a worker's changed boot ID, or its first one. Its tasks count as unconfirmed until the worker reports them
// or, on the clock of this boot, a lease duration has passed.
func (decider *Decider) handleReboot(worker *Worker, report Report, now time.Time) {
	if worker.Boot != "" {
		worker.rebootedAt = now
	}
	for _, task := range worker.Tasks {
		task.unconfirmed = true
		task.Grant.NotAfter = report.Clock
		task.Grant.LeaseEnd = report.Clock + decider.Settings.TaskLeaseDuration.Milliseconds()
	}
	worker.Boot = report.Boot
	worker.LeaseEnd = 0
	worker.Sequence = 0
}

// reconcile updates a task by a row of the worker's table.
func (decider *Decider) reconcile(worker *Worker, reported TaskReport, now time.Time) {
	task, known := decider.tasksByID[reported.ID]
	switch {
	case reported.Running && known:
		task.State = Running
		task.unconfirmed = false
	case reported.Running:
		decider.adopt(worker, reported, now)
	case known:
		decider.endAttempt(task, reported.Ending, reported.Status, reported.Checkpoint, now)
	default:
		decider.reportUnknownEnd(worker, reported)
	}
}

// adopt adds a running task that an earlier term started. If its work item has another attempt granted or
// running, the reported task is stopped. A task without a readable label counts as standing work without a team.
func (decider *Decider) adopt(worker *Worker, reported TaskReport, now time.Time) {
	var work Work
	if err := json.Unmarshal([]byte(reported.Label), &work); err != nil {
		work = Work{ID: reported.ID, Team: "", Service: "", Class: Standing}
	}
	work.Size = reported.Size
	decider.dropDeferred(work.ID)
	other, known := decider.tasksByWork[work.ID]
	if known && other.State == Queued {
		decider.dropQueued(other)
	}
	duplicate := known && other.State != Queued
	if duplicate {
		work.ID = reported.ID
	}
	task := &Task{Work: work, State: Running, QueuedAt: now, GrantedAt: now}
	task.Grant = fencer.Grant{Task: reported.ID, Team: work.Team, Worker: worker.Name, Address: worker.Address, Boot: worker.Boot, Term: decider.Term}
	decider.tasksByWork[work.ID] = task
	decider.allocate(task, worker)
	if duplicate {
		decider.stop(task, false)
	}
}

// reportUnknownEnd emits the end of a task that is not in the tables, such as one of an earlier term. Deferred work is
// dropped: whether work that has run may run again is decided by who receives its end. Queued work is dropped if it completed.
func (decider *Decider) reportUnknownEnd(worker *Worker, reported TaskReport) {
	var work Work
	if err := json.Unmarshal([]byte(reported.Label), &work); err != nil {
		return
	}
	decider.dropDeferred(work.ID)
	if queued, known := decider.tasksByWork[work.ID]; known && queued.State == Queued && reported.Ending == Completed {
		decider.dropQueued(queued)
	}
	decider.emit(Ended{
		Work:       work,
		Task:       reported.ID,
		Worker:     worker.Name,
		Ending:     reported.Ending,
		Status:     reported.Status,
		Checkpoint: reported.Checkpoint,
	})
}

// expireUnreported ends the granted tasks that the worker has not reported and can no longer accept, as its clock
// passed their start timeouts, and the unconfirmed tasks whose leases have expired.
func (decider *Decider) expireUnreported(worker *Worker, report Report, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(worker.Tasks)) {
		task := worker.Tasks[id]
		switch {
		case task.unconfirmed:
			if report.Clock > task.Grant.LeaseEnd+leaseGuardMS {
				decider.endAttempt(task, Vanished, 0, "", now)
			}
		case task.State == Granted && report.Clock > task.Grant.NotAfter:
			decider.endAttempt(task, NeverRan, 0, "", now)
		}
	}
}
