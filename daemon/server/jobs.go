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
	"ebonyshunt.org/library/retrier"
)

// jobState is the state of a job in the decider of its home zone.
type jobState struct {
	Job
	changed          chan struct{}   // closed when the next version is published
	replicating      bool            // replicateJob is running
	dirty            bool            // a version was published since replicateJob encoded its record
	unreplicatedEnds []decider.Ended // ends of attempts that no other host has a record of yet
}

// workID returns the ID of the work item for a task of a job.
func workID(job string, index int) string { return job + workSeparator + strconv.Itoa(index) }

const workSeparator = "_"

// splitWork returns the job ID and the task index in a work ID. The index is -1 if the work item is not a task of a job.
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

// submitJob accepts a job after another host has stored its record. A repeated submission returns the accepted job.
func (tenure *tenure) submitJob(ctx context.Context, call SubmitJobCall) (JobAnswer, error) {
	release, err := tenure.claimJobID(ctx, call.ID)
	if err != nil {
		return JobAnswer{}, err
	}
	defer release()
	tenure.mu.Lock()
	if known, found := tenure.jobs[call.ID]; found {
		defer tenure.mu.Unlock()
		return known.answerResubmission(call), nil
	}
	tenure.mu.Unlock()
	job, problem := tenure.newJob(call)
	if problem != nil {
		return JobAnswer{Problem: problem}, nil
	}
	releaseMemory, problem := tenure.reserveMemory(job)
	if problem != nil {
		return JobAnswer{Problem: problem}, nil
	}
	defer releaseMemory()
	record, err := tenure.jobRecord(job)
	if err != nil {
		return JobAnswer{}, err
	}
	if err := tenure.replicate(ctx, record); err != nil {
		return JobAnswer{Problem: responder.Refuse(http.StatusServiceUnavailable, responder.CodeNotKept,
			"the job cannot be copied to another host: %v", err).WithRetryAfter(time.Second)}, nil
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.jobs[call.ID] = job
	tenure.jobBytes += job.memory()
	tenure.enqueueJob(job)
	return JobAnswer{Job: job.copy()}, nil
}

// claimJobID waits until no other submission under an ID is in progress, and keeps others waiting until release is called: of two that are
// made at once, the copies of only one may be stored.
func (tenure *tenure) claimJobID(ctx context.Context, id string) (release func(), err error) {
	for {
		tenure.mu.Lock()
		other, inProgress := tenure.submissions[id]
		if !inProgress {
			ended := make(chan struct{})
			tenure.submissions[id] = ended
			tenure.mu.Unlock()
			return func() { tenure.releaseJobID(id, ended) }, nil
		}
		tenure.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for another submission of job %s: %w", id, ctx.Err())
		case <-tenure.ctx.Done():
			return nil, errNotDeciding
		}
	}
}

func (tenure *tenure) releaseJobID(id string, ended chan struct{}) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	delete(tenure.submissions, id)
	close(ended)
}

// answerResubmission returns the known job, or a problem if the ID was used for another job. The caller holds tenure.mu.
func (jobState *jobState) answerResubmission(call SubmitJobCall) JobAnswer {
	isForeign := call.Caller != "" && !jobState.isOwnedBy(call.Caller)
	if isForeign || jobState.Team != call.Team || jobState.Digest != call.Spec.digest() {
		return JobAnswer{Problem: responder.Refuse(http.StatusUnprocessableEntity, responder.CodeKeyReused,
			"the idempotency key was used with another job")}
	}
	return JobAnswer{Job: jobState.copy()}
}

// newJob builds a job from a submission. It refuses a job whose service is not configured or whose tasks fit none of
// the zone's workers.
func (tenure *tenure) newJob(call SubmitJobCall) (*jobState, *responder.Problem) {
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
	job := &jobState{changed: make(chan struct{})}
	job.Job = Job{
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
	if call.Caller != call.Team {
		job.Submitter = call.Caller
	}
	for i := range job.Tasks {
		job.Tasks[i].State = JobQueued
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if reason := tenure.decider.UnplaceableReason(job.work(0)); reason != "" {
		return nil, responder.Refuse(http.StatusUnprocessableEntity, responder.CodeNeverFits, "zone %s: %s", tenure.zone, reason)
	}
	return job, nil
}

// work returns a task as a work item for the decider.
func (jobState *jobState) work(index int) decider.Work {
	class, err := decider.ParseClass(jobState.Class)
	if err != nil {
		class = decider.Batch
	}
	task := jobState.Tasks[index]
	work := decider.Work{
		ID:         workID(jobState.ID, index),
		Team:       jobState.Team,
		Service:    jobState.Spec.Service,
		Queue:      jobState.Spec.Queue,
		Class:      class,
		Size:       jobState.Spec.Size,
		Job:        jobState.ID,
		Idempotent: jobState.Spec.Idempotent || jobState.Spec.Standing,
		Resumable:  jobState.Spec.Resumable,
		Deadline:   jobState.Spec.Deadline,
		Expected:   time.Duration(jobState.Spec.ExpectedMS) * time.Millisecond,
		Resume:     task.Resume,
		Attempt:    task.Attempts,
		Avoid:      task.Avoid,
	}
	if jobState.Spec.Gang {
		work.Gang = len(jobState.Tasks)
	}
	return work
}

func (jobState *jobState) copy() *Job {
	job := jobState.Job
	job.Tasks = slices.Clone(jobState.Tasks)
	return &job
}

func (tenure *tenure) enqueueJob(job *jobState) {
	for i, task := range job.Tasks {
		if task.State == JobQueued {
			tenure.enqueueTask(job, i)
		}
	}
	tenure.requestTick()
}

func (tenure *tenure) enqueueTask(job *jobState, index int) {
	work := job.work(index)
	tenure.decider.Enqueue(work, time.Now())
	tenure.server.recordEvent("queued", work, "", "", "")
}

// jobRecord returns a job as a record that other hosts can store. The caller holds tenure.mu, or no other goroutine
// has the job yet.
func (tenure *tenure) jobRecord(job *jobState) (keeper.Record, error) {
	return tenure.newRecord(job.ID, kindJob, job.Version, job.Expires, job.Job)
}

// restoreJob takes over a job of an earlier term. A task whose latest attempt a worker reported as ended ends so. Tasks
// that a claimed worker reported are in the tables of the decider already. A task that was started but that no worker reports is queued again if it is proven never to have run, and
// otherwise counts as running but unconfirmed.
func (tenure *tenure) restoreJob(record keeper.Record) error {
	var job Job
	if err := json.Unmarshal(record.Data, &job); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	state := &jobState{Job: job, changed: make(chan struct{})}
	tenure.jobs[job.ID] = state
	tenure.jobBytes += state.memory()
	for i := range state.Tasks {
		tenure.restoreTask(state, i)
	}
	return nil
}

func (tenure *tenure) restoreTask(job *jobState, index int) {
	task := &job.Tasks[index]
	if task.State.final() {
		return
	}
	end, ended := tenure.unmatchedEnds[workID(job.ID, index)]
	delete(tenure.unmatchedEnds, workID(job.ID, index))
	if ended && task.State == JobRunning && end.effect.Work.Attempt < task.Attempts {
		tenure.decider.ForgetEnded(end.effect.Worker, end.effect.Task) // a later attempt was started since
		ended = false
	}
	if ended {
		task.Task = end.effect.Task
		tenure.handleJobTaskEnd(end.effect)
		return
	}
	adopted, running := tenure.decider.Lookup(workID(job.ID, index))
	switch {
	case running && adopted.State == decider.Running:
		task.State, task.Task, task.Worker = JobRunning, adopted.Grant.Task, adopted.Grant.Worker
	case task.State == JobRunning && !tenure.decider.ProvenNeverRan(task.Worker, task.Boot):
		tenure.decider.AddUnconfirmed(job.work(index), task.Task, task.Worker, task.Boot, time.Now())
	default:
		task.State = JobQueued
		tenure.restoreQueued(job, index)
	}
}

// restoreQueued queues a task of an earlier term unless it is queued. It is held back while a worker that may run it is not claimed.
func (tenure *tenure) restoreQueued(job *jobState, index int) {
	if _, known := tenure.decider.Lookup(workID(job.ID, index)); known {
		return
	}
	if !tenure.decider.AllClaimed() {
		tenure.decider.Defer(job.work(index))
		return
	}
	tenure.enqueueTask(job, index)
}

// publishVersion increments the version of a job, wakes the calls that wait for it and starts its replication to other
// hosts. A finished job expires after jobRetention. The caller holds tenure.mu.
func (tenure *tenure) publishVersion(job *jobState) {
	job.Version++
	if job.Finished() && job.Expires.IsZero() {
		job.Expires = time.Now().Add(jobRetention)
	}
	close(job.changed)
	job.changed = make(chan struct{})
	if job.replicating {
		job.dirty = true
		return
	}
	job.replicating = true
	tenure.goroutines.Go(func() { tenure.replicateJob(job) })
}

// replicateJob replicates a job until another host has stored its latest version. Workers may drop ended tasks only
// after a version that contains their ends has been replicated.
func (tenure *tenure) replicateJob(job *jobState) {
	for tenure.ctx.Err() == nil {
		tenure.mu.Lock()
		job.dirty = false
		ends := job.unreplicatedEnds
		job.unreplicatedEnds = nil
		record, err := tenure.jobRecord(job)
		tenure.mu.Unlock()
		if err == nil {
			err = tenure.replicate(tenure.ctx, record)
		}
		tenure.mu.Lock()
		if err != nil {
			job.unreplicatedEnds = append(ends, job.unreplicatedEnds...)
		} else {
			tenure.forgetEnds(ends)
		}
		if err == nil && !job.dirty {
			job.replicating = false
			tenure.mu.Unlock()
			return
		}
		tenure.mu.Unlock()
		if err != nil {
			retrier.Sleep(tenure.ctx, controlRetryDelay)
		}
	}
}

// startJobTask records an attempt and starts it. An attempt that must not run twice is started only after another
// host has stored its record. The caller holds tenure.mu.
func (tenure *tenure) startJobTask(effect decider.Start) {
	id, index := splitWork(effect.Work.ID)
	job := tenure.jobs[id]
	if job == nil || index < 0 || index >= len(job.Tasks) || job.Canceled || job.Tasks[index].State != JobQueued {
		tenure.decider.EndAttempt(effect.Grant.Task, decider.NeverRan, 0, time.Now())
		return
	}
	task := &job.Tasks[index]
	task.State = JobRunning
	task.Attempts = effect.Work.Attempt
	task.Worker, task.Task, task.Boot = effect.Grant.Worker, effect.Grant.Task, effect.Grant.Boot
	spec := job.Spec.Tasks[index]
	tenure.publishVersion(job)
	record, err := tenure.jobRecord(job)
	replicateFirst := !effect.Work.Idempotent
	tenure.goroutines.Go(func() {
		if replicateFirst && err == nil {
			err = tenure.replicate(tenure.ctx, record)
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
	response, err := tenure.server.workerClient.Send(ctx, starter.StartRequest{
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
		if provesNotStarted(err) {
			tenure.endAttempt(effect, decider.NeverRan)
		}
		return
	}
	response.Body.Close()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.expediteClaim(effect.Grant.Worker)
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
	tenure.decider.EndAttempt(effect.Grant.Task, ending, 0, time.Now())
	tenure.requestTick()
}

const (
	maxUndelayedAttempts = 2 // attempts after which a task is queued again without a delay
	minRetryDelay        = 50 * time.Millisecond
	maxRetryDoublings    = 7
)

// job returns a job. If the call has a wait time and the job has no version later than call.After, job waits for the
// next version, but not longer than maxJobWait.
func (tenure *tenure) job(ctx context.Context, call JobCall) (JobAnswer, error) {
	tenure.mu.Lock()
	job, found := tenure.jobs[call.ID]
	if !found || (call.Team != "" && !job.isOwnedBy(call.Team)) {
		tenure.mu.Unlock()
		return JobAnswer{Problem: jobNotFound(call.ID)}, nil
	}
	changed, version := job.changed, job.Version
	tenure.mu.Unlock()
	if call.WaitMS > 0 && version <= call.After {
		timer := time.NewTimer(min(maxJobWait, time.Duration(call.WaitMS)*time.Millisecond))
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
	if call.Brief {
		return JobAnswer{Version: job.Version, Bytes: job.memory(), Finished: job.Finished()}, nil
	}
	return JobAnswer{Job: job.copy()}, nil
}

func jobNotFound(id string) *responder.Problem {
	return responder.Refuse(http.StatusNotFound, responder.CodeNotFound, "no job %s", id)
}

// cancelJob cancels the queued tasks of a job and stops its running ones.
func (tenure *tenure) cancelJob(_ context.Context, call JobCall) (JobAnswer, error) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	job, found := tenure.jobs[call.ID]
	if !found || (call.Team != "" && !job.isOwnedBy(call.Team)) {
		return JobAnswer{Problem: jobNotFound(call.ID)}, nil
	}
	job.Canceled = true
	for i := range job.Tasks {
		if job.Tasks[i].State.final() {
			continue
		}
		if tenure.decider.Cancel(workID(job.ID, i)) {
			job.Tasks[i].State = JobCanceled
		}
	}
	tenure.publishVersion(job)
	tenure.requestTick()
	return JobAnswer{Job: job.copy()}, nil
}
