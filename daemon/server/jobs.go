package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/keeper"
	"ebonyshunt.org/library/responder"
)

// jobRow is a job in the table of the decider of its home zone.
type jobRow struct {
	Job
	changed     chan struct{}   // closed when the next version is published
	saving      bool            // saveJob is running
	dirty       bool            // a version was published since saveJob took its copy
	unsavedEnds []decider.Ended // ends of attempts that have not been copied to another host yet
}

// workID returns the ID of a job's task as a work of the decider.
func workID(job string, index int) string { return job + workSeparator + strconv.Itoa(index) }

const workSeparator = "_"

// splitWork returns the job ID and the task index in a work ID. The index is -1 if the work is not a task of a job.
func splitWork(work string) (string, int) {
	at := strings.LastIndex(work, workSeparator)
	if at < 0 {
		return work, -1
	}
	index, err := strconv.Atoi(work[at+1:])
	if err != nil {
		return work, -1
	}
	return work[:at], index
}

// submitJob accepts a job after another host has stored a copy. A repeated submission returns the accepted job.
func (tenure *tenure) submitJob(ctx context.Context, call SubmitJobCall) (JobAnswer, error) {
	tenure.mu.Lock()
	known, found := tenure.jobs[call.ID]
	tenure.mu.Unlock()
	if found {
		return tenure.answerResubmission(known, call), nil
	}
	row, problem := tenure.newJob(call)
	if problem != nil {
		return JobAnswer{Problem: problem}, nil
	}
	record, err := tenure.jobRecord(row)
	if err != nil {
		return JobAnswer{}, err
	}
	if err := tenure.keep(ctx, record); err != nil {
		return JobAnswer{Problem: responder.Refuse(http.StatusServiceUnavailable, responder.CodeNotKept,
			"the job cannot be copied to another host: %v", err).After(time.Second)}, nil
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if known, raced := tenure.jobs[call.ID]; raced {
		return JobAnswer{Job: known.copy()}, nil
	}
	tenure.jobs[call.ID] = row
	tenure.enqueueJob(row)
	return JobAnswer{Job: row.copy()}, nil
}

// answerResubmission returns the known job, or a problem if the ID was used for another job.
func (tenure *tenure) answerResubmission(known *jobRow, call SubmitJobCall) JobAnswer {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if known.Team != call.Team || known.Digest != call.Spec.digest() {
		return JobAnswer{Problem: responder.Refuse(http.StatusUnprocessableEntity, responder.CodeKeyReused,
			"the idempotency key was used with another job")}
	}
	return JobAnswer{Job: known.copy()}
}

// newJob builds a job from a submission. It refuses a job whose service is not configured or whose tasks fit none of
// the zone's workers.
func (tenure *tenure) newJob(call SubmitJobCall) (*jobRow, *responder.Problem) {
	view := tenure.server.viewer.View()
	service, found := view.Services[call.Spec.Service]
	if !found {
		return nil, responder.Refuse(http.StatusNotFound, responder.CodeNoService, "service %q is not configured", call.Spec.Service)
	}
	digest := call.Spec.digest()
	if call.Spec.Size.Zero() {
		call.Spec.Size = service.Size
	}
	class := decider.Batch.String()
	if queue, found := view.Queues[call.Spec.Queue]; found {
		class = queue.Class
	}
	if call.Spec.Standing {
		class = decider.Standing.String()
	}
	row := &jobRow{changed: make(chan struct{})}
	row.Job = Job{
		ID:        call.ID,
		Team:      call.Team,
		Zone:      tenure.zone,
		Class:     class,
		Spec:      call.Spec,
		Digest:    digest,
		Tasks:     make([]JobTask, len(call.Spec.Tasks)),
		Submitted: time.Now(),
		Version:   1,
	}
	for i := range row.Tasks {
		row.Tasks[i].State = JobQueued
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if reason := tenure.decider.NeverFits(row.work(0)); reason != "" {
		return nil, responder.Refuse(http.StatusUnprocessableEntity, responder.CodeNeverFits, "zone %s: %s", tenure.zone, reason)
	}
	return row, nil
}

// work returns a task as a work for the decider.
func (jobRow *jobRow) work(index int) decider.Work {
	class, err := decider.ParseClass(jobRow.Class)
	if err != nil {
		class = decider.Batch
	}
	task := jobRow.Tasks[index]
	work := decider.Work{
		ID:         workID(jobRow.ID, index),
		Team:       jobRow.Team,
		Service:    jobRow.Spec.Service,
		Queue:      jobRow.Spec.Queue,
		Class:      class,
		Size:       jobRow.Spec.Size,
		Job:        jobRow.ID,
		Idempotent: jobRow.Spec.Idempotent || jobRow.Spec.Standing,
		Resumable:  jobRow.Spec.Resumable,
		Deadline:   jobRow.Spec.Deadline,
		Expected:   time.Duration(jobRow.Spec.ExpectedMS) * time.Millisecond,
		Resume:     task.Resume,
		Attempt:    task.Attempts,
		Avoid:      task.Avoid,
	}
	if jobRow.Spec.Gang {
		work.Gang = len(jobRow.Tasks)
	}
	return work
}

func (jobRow *jobRow) copy() *Job {
	job := jobRow.Job
	job.Tasks = slices.Clone(jobRow.Tasks)
	return &job
}

func (tenure *tenure) enqueueJob(row *jobRow) {
	for i, task := range row.Tasks {
		if task.State == JobQueued {
			tenure.enqueueTask(row, i)
		}
	}
	tenure.poke()
}

func (tenure *tenure) enqueueTask(row *jobRow, index int) {
	work := row.work(index)
	tenure.decider.Enqueue(work, time.Now())
	tenure.server.record("queued", work, "", "", "")
}

// jobRecord returns a job as a record for other hosts. The caller holds tenure.mu, or no other goroutine has the row
// yet.
func (tenure *tenure) jobRecord(row *jobRow) (keeper.Record, error) {
	return tenure.newRecord(row.ID, kindJob, row.Version, row.Expires, row.Job)
}

// restoreJob takes over a job of an earlier term. Tasks that a claimed worker reported are known to the decider
// already. A task that was started but that no worker reports is resolved by what the task table of its worker proves.
func (tenure *tenure) restoreJob(record keeper.Record) error {
	var job Job
	if err := json.Unmarshal(record.Data, &job); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	row := &jobRow{Job: job, changed: make(chan struct{})}
	tenure.jobs[job.ID] = row
	for i := range row.Tasks {
		tenure.restoreTask(row, i)
	}
	return nil
}

func (tenure *tenure) restoreTask(row *jobRow, index int) {
	task := &row.Tasks[index]
	if task.State.final() {
		return
	}
	if end, ended := tenure.early[workID(row.ID, index)]; ended {
		delete(tenure.early, workID(row.ID, index))
		task.Task = end.effect.Task
		tenure.jobTaskEnded(end.effect)
		return
	}
	adopted, running := tenure.decider.Lookup(workID(row.ID, index))
	switch {
	case running && adopted.State == decider.Running:
		task.State, task.Task, task.Worker = JobRunning, adopted.Grant.Task, adopted.Grant.Worker
	case task.State == JobRunning && !tenure.decider.Disproved(task.Worker, task.Boot):
		tenure.decider.Doubt(row.work(index), task.Task, task.Worker, task.Boot, time.Now())
	default:
		task.State = JobQueued
		if !tenure.decider.AllClaimed() {
			tenure.decider.Defer(row.work(index), time.Now())
			return
		}
		tenure.enqueueTask(row, index)
	}
}

// publishVersion increments the version of a job, wakes the calls that wait for it and starts to copy it to other
// hosts. A finished job expires after jobRetention. The caller holds tenure.mu.
func (tenure *tenure) publishVersion(row *jobRow) {
	row.Version++
	if row.Finished() && row.Expires.IsZero() {
		row.Expires = time.Now().Add(jobRetention)
	}
	close(row.changed)
	row.changed = make(chan struct{})
	if row.saving {
		row.dirty = true
		return
	}
	row.saving = true
	tenure.wait.Go(func() { tenure.saveJob(row) })
}

// saveJob copies a job to other hosts until one has its latest version. Workers may drop ended tasks only after a
// version that contains their ends has been copied.
func (tenure *tenure) saveJob(row *jobRow) {
	for tenure.ctx.Err() == nil {
		tenure.mu.Lock()
		row.dirty = false
		ends := row.unsavedEnds
		row.unsavedEnds = nil
		record, err := tenure.jobRecord(row)
		tenure.mu.Unlock()
		if err == nil {
			err = tenure.keep(tenure.ctx, record)
		}
		tenure.mu.Lock()
		if err != nil {
			row.unsavedEnds = append(ends, row.unsavedEnds...)
		} else {
			tenure.forgetEnds(ends)
		}
		if err == nil && !row.dirty {
			row.saving = false
			tenure.mu.Unlock()
			return
		}
		tenure.mu.Unlock()
		if err != nil {
			sleep(tenure.ctx, controlRetry)
		}
	}
}

// startJobTask records an attempt and starts it. An attempt that must not run twice is started only after another
// host has stored its record. The caller holds tenure.mu.
func (tenure *tenure) startJobTask(effect decider.Start) {
	id, index := splitWork(effect.Work.ID)
	row := tenure.jobs[id]
	if row == nil || index < 0 || index >= len(row.Tasks) || row.Canceled {
		tenure.decider.Completed(effect.Grant.Task, decider.NeverRan, 0, time.Now())
		return
	}
	task := &row.Tasks[index]
	task.State = JobRunning
	task.Attempts = effect.Work.Attempt
	task.Worker, task.Task, task.Boot = effect.Grant.Worker, effect.Grant.Task, effect.Grant.Boot
	spec := row.Spec.Tasks[index]
	tenure.publishVersion(row)
	record, err := tenure.jobRecord(row)
	copyFirst := !effect.Work.Idempotent
	tenure.wait.Go(func() {
		if copyFirst && err == nil {
			err = tenure.keep(tenure.ctx, record)
		}
		if err != nil {
			tenure.endAttempt(effect, decider.NeverRan)
			return
		}
		tenure.sendJobTask(effect, spec)
	})
}

func (tenure *tenure) sendJobTask(effect decider.Start, spec TaskSpec) {
	label, err := decider.Label(effect.Work)
	if err != nil {
		tenure.endAttempt(effect, decider.NeverRan)
		return
	}
	ctx, cancel := context.WithTimeout(tenure.ctx, clientTimeout)
	defer cancel()
	response, err := tenure.server.workers.Send(ctx, starter.Start{
		Grant:   effect.Grant,
		Label:   label,
		Size:    effect.Work.Size,
		Service: effect.Work.Service,
		Method:  http.MethodPost,
		Target:  targetPath(spec.Target),
		Body:    bytes.NewReader(spec.Body),
		Length:  int64(len(spec.Body)),
		Async:   true,
		Resume:  effect.Work.Resume,
	})
	if err != nil {
		tenure.server.log.Debug("failed to start task on worker", "task", effect.Grant.Task, "worker", effect.Grant.Worker, "error", err)
		if provedUnsent(err) {
			tenure.endAttempt(effect, decider.NeverRan)
		}
		return
	}
	response.Body.Close()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.probe(effect.Grant.Worker)
}

// targetPath returns the target of a task as a path below the service. A target may be given without a leading slash.
func targetPath(target string) string {
	if target == "" || target[0] == '/' || target[0] == '?' {
		return target
	}
	return "/" + target
}

func (tenure *tenure) endAttempt(effect decider.Start, ending decider.Ending) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.decider.Completed(effect.Grant.Task, ending, 0, time.Now())
	tenure.poke()
}

const (
	maxUndelayedAttempts = 2 // attempts after which a task is queued again without a delay
	minRetryDelay        = 50 * time.Millisecond
	maxRetryDoublings    = 7
)

// job returns a job. If the call has a wait time and the job has no version later than call.After, job waits for the
// next version, but not longer than mostWait.
func (tenure *tenure) job(ctx context.Context, call JobCall) (JobAnswer, error) {
	tenure.mu.Lock()
	row, found := tenure.jobs[call.ID]
	if !found || (call.Team != "" && row.Team != call.Team) {
		tenure.mu.Unlock()
		return JobAnswer{Problem: jobNotFound(call.ID)}, nil
	}
	changed, version := row.changed, row.Version
	tenure.mu.Unlock()
	if call.WaitMS > 0 && version <= call.After {
		timer := time.NewTimer(min(mostWait, time.Duration(call.WaitMS)*time.Millisecond))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		case <-tenure.ctx.Done():
			return JobAnswer{}, errNotDeciding
		}
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return JobAnswer{Job: row.copy()}, nil
}

func jobNotFound(id string) *responder.Problem {
	return responder.Refuse(http.StatusNotFound, responder.CodeNotFound, "no job %s", id)
}

// cancelJob cancels the queued tasks of a job and stops its running ones.
func (tenure *tenure) cancelJob(_ context.Context, call JobCall) (JobAnswer, error) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	row, found := tenure.jobs[call.ID]
	if !found || (call.Team != "" && row.Team != call.Team) {
		return JobAnswer{Problem: jobNotFound(call.ID)}, nil
	}
	row.Canceled = true
	for i := range row.Tasks {
		if row.Tasks[i].State.final() {
			continue
		}
		if tenure.decider.Cancel(workID(row.ID, i)) {
			row.Tasks[i].State = JobCanceled
		}
	}
	tenure.publishVersion(row)
	tenure.poke()
	return JobAnswer{Job: row.copy()}, nil
}
