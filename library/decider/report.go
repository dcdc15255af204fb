package decider

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

// Report is a worker's lease table, whole or what changed in it.
type Report struct {
	Boot     string
	Clock    int64 // worker's clock, milliseconds since boot
	Term     fencer.Term
	Sequence int64
	Whole    bool
	Tasks    []Reported
}

// Reported is one task of a report.
type Reported struct {
	ID         string
	Label      string
	Size       sizer.Size
	Running    bool
	Ending     Ending // when not running
	Status     int
	Checkpoint string
}

// Claim is what a decider asks of a worker to own it and to learn what changed.
type Claim struct {
	Worker  string
	Address string
	Boot    string // empty claims whatever boot the worker is at
	Since   int64
	Lease   int64 // new end of all leases on the worker's clock, 0 for none
	Forget  []string
}

// NextClaim returns the claim to send to a worker. A worker that was seen with a new boot is claimed
// again only once half of the other workers have since confirmed the term.
func (decider *Decider) NextClaim(name string, now time.Time) (Claim, bool) {
	worker, found := decider.workers[name]
	if !found {
		return Claim{}, false
	}
	claim := Claim{Worker: name, Address: worker.Address, Boot: worker.Boot, Since: worker.Sequence, Forget: worker.forget}
	worker.forget = nil
	if worker.Boot == "" {
		return claim, true
	}
	if !worker.Claimed {
		claim.Since, claim.Boot = 0, learnOnly
		if decider.confirmedSince(worker) {
			claim.Boot = ""
		}
		return claim, true
	}
	worker.Lease = worker.clockAt(now) + decider.Settings.TaskLease.Milliseconds()
	claim.Lease = worker.Lease
	return claim, true
}

// learnOnly is a boot that no worker has, so that the claim only brings a report.
const learnOnly = "-"

func (decider *Decider) confirmedSince(worker *Worker) bool {
	others, confirmed := 0, 0
	for _, other := range decider.workers {
		if other == worker || !other.Claimed {
			continue
		}
		others++
		if other.ClockAt.After(worker.unclaimedAt) {
			confirmed++
		}
	}
	return 2*confirmed >= others
}

// Reported takes a worker's answer to a claim.
func (decider *Decider) Reported(name string, report Report, now time.Time) {
	worker, found := decider.workers[name]
	if !found {
		return
	}
	if report.Boot != worker.Boot {
		decider.rebooted(worker, report, now)
	}
	claimed := report.Term == decider.Term
	if claimed != worker.Claimed {
		worker.Claimed = claimed
		decider.sumCapacity()
	}
	worker.Clock, worker.ClockAt, worker.Sequence = report.Clock, now, report.Sequence
	for _, reported := range report.Tasks {
		decider.reconcile(worker, reported, now)
	}
	if claimed {
		decider.disprove(worker, report, now)
	}
}

// Forget lets a worker drop an ended task, once its end is known wherever it has to be. A worker that
// misses this keeps the task until its memory is short.
func (decider *Decider) Forget(workerName, taskID string) {
	if worker, found := decider.workers[workerName]; found {
		worker.forget = append(worker.forget, taskID)
	}
}

// rebooted marks the worker's tasks as lost until it reports them or their leases have lapsed.
func (decider *Decider) rebooted(worker *Worker, report Report, now time.Time) {
	if worker.Boot != "" {
		worker.unclaimedAt = now
		for _, task := range worker.Tasks {
			task.lost = true
			task.Grant.NotAfter = report.Clock
			task.Grant.Lease = report.Clock + decider.Settings.TaskLease.Milliseconds()
		}
	}
	worker.Boot = report.Boot
	worker.Lease = 0
	worker.Sequence = 0
}

// reconcile brings one task row in line with the worker's table.
func (decider *Decider) reconcile(worker *Worker, reported Reported, now time.Time) {
	task, known := decider.byID[reported.ID]
	switch {
	case reported.Running && known:
		task.State = Running
		task.lost = false
	case reported.Running:
		decider.adopt(worker, reported, now)
	case known:
		decider.settle(task, reported.Ending, reported.Status, reported.Checkpoint, now)
	default:
		decider.orphanEnded(worker, reported)
	}
}

// adopt takes over a running task that another term started; one whose work runs elsewhere is stopped.
func (decider *Decider) adopt(worker *Worker, reported Reported, now time.Time) {
	var work Work
	if err := json.Unmarshal([]byte(reported.Label), &work); err != nil {
		work = Work{ID: reported.ID, Team: "", Service: "", Class: Standing}
	}
	work.Size = reported.Size
	decider.undefer(work.ID)
	other, known := decider.tasks[work.ID]
	if known && other.State == Queued {
		decider.remove(other)
	}
	twin := known && other.State != Queued
	if twin {
		work.ID = reported.ID
	}
	task := &Task{Work: work, State: Running, Queued: now, Began: now}
	task.Grant = fencer.Grant{Task: reported.ID, Team: work.Team, Worker: worker.Name, Address: worker.Address, Boot: worker.Boot, Term: decider.Term}
	decider.tasks[work.ID] = task
	decider.hold(task, worker)
	if twin {
		decider.stop(task, false)
	}
}

// orphanEnded tells of an ended task that this term did not start.
func (decider *Decider) orphanEnded(worker *Worker, reported Reported) {
	var work Work
	if err := json.Unmarshal([]byte(reported.Label), &work); err != nil {
		return
	}
	if reported.Ending == Completed {
		decider.undefer(work.ID)
	}
	if queued, known := decider.tasks[work.ID]; known && queued.State == Queued && reported.Ending == Completed {
		decider.remove(queued)
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

// disprove settles the grants that the worker never saw and can no longer accept, and the lost
// tasks whose leases have lapsed.
func (decider *Decider) disprove(worker *Worker, report Report, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(worker.Tasks)) {
		task := worker.Tasks[id]
		switch {
		case task.lost:
			if report.Clock > task.Grant.Lease+leaseGuardMS {
				decider.settle(task, Vanished, 0, "", now)
			}
		case task.State == Granted && report.Clock > task.Grant.NotAfter:
			decider.settle(task, NeverRan, 0, "", now)
		}
	}
}
