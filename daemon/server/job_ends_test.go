package server

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
)

// newTestTenure returns a tenure in term 2 of a server that has no peers and does not run.
func newTestTenure(t *testing.T) *tenure {
	t.Helper()
	server := newServer(loader.Settings{Host: "a", Zone: "z"}.WithDefaults(), dialer.Network{}, slog.New(slog.DiscardHandler))
	tenure := server.newTenure(fencer.Term{Number: 2, Holder: "a"})
	t.Cleanup(tenure.close)
	return tenure
}

// newTestJob returns job j with the given tasks.
func newTestJob(spec JobSpec, tasks ...JobTask) *jobState {
	spec.Service, spec.Tasks = "s", make([]TaskSpec, len(tasks))
	return &jobState{Job: Job{ID: "j", Spec: spec, Tasks: tasks, Version: 1}, changed: make(chan struct{})}
}

func assertStates(t *testing.T, job *jobState, want ...JobTaskState) {
	t.Helper()
	for i, task := range job.Tasks {
		if task.State != want[i] {
			t.Errorf("task %d is %s, want %s", i, task.State, want[i])
		}
	}
}

// TestGangMemberNeverRan guards against a second run of a gang's members that have ended, when another member is found never to
// have started: only a gang whose tasks may run again starts again.
func TestGangMemberNeverRan(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		other      JobTaskState
		want       [2]JobTaskState
	}{
		{"idempotent", true, JobDone, [2]JobTaskState{JobQueued, JobQueued}},
		{"otherIsDone", false, JobDone, [2]JobTaskState{JobDone, JobCanceled}},
		{"otherFailed", false, JobFailed, [2]JobTaskState{JobFailed, JobCanceled}},
		{"otherIsUnknown", false, JobUnknown, [2]JobTaskState{JobUnknown, JobCanceled}},
		{"noneRan", false, JobQueued, [2]JobTaskState{JobQueued, JobQueued}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tenure := newTestTenure(t)
			job := newTestJob(JobSpec{Gang: true, Idempotent: test.idempotent}, JobTask{State: test.other, Task: "j_0~1.1"}, JobTask{State: JobRunning, Task: "j_1~1.1"})
			tenure.mu.Lock()
			defer tenure.mu.Unlock()
			tenure.jobs["j"] = job
			tenure.handleJobTaskEnd(decider.Ended{Work: job.work(1), Task: "j_1~1.1", Ending: decider.NeverRan})
			assertStates(t, job, test.want[0], test.want[1])
		})
	}
}

// TestGangMemberEndsLast checks that the members of a gang that never ran do not wait for ever for those that have to end first.
func TestGangMemberEndsLast(t *testing.T) {
	for ending, want := range map[decider.Ending]JobTaskState{decider.Completed: JobDone, decider.Stopped: JobUnknown} {
		t.Run(string(ending), func(t *testing.T) {
			tenure := newTestTenure(t)
			job := newTestJob(JobSpec{Gang: true}, JobTask{State: JobRunning, Task: "j_0~1.1"}, JobTask{State: JobRunning, Task: "j_1~1.1"})
			tenure.mu.Lock()
			defer tenure.mu.Unlock()
			tenure.jobs["j"] = job
			tenure.handleJobTaskEnd(decider.Ended{Work: job.work(1), Task: "j_1~1.1", Ending: decider.NeverRan})
			tenure.handleJobTaskEnd(decider.Ended{Work: job.work(0), Task: "j_0~1.1", Ending: ending})
			assertStates(t, job, want, JobCanceled)
		})
	}
	t.Run("checkpoint", func(t *testing.T) {
		tenure := newTestTenure(t)
		job := newTestJob(JobSpec{Gang: true}, JobTask{State: JobDone, Task: "j_0~1.1"}, JobTask{State: JobRunning, Task: "j_1~1.1"})
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		tenure.jobs["j"] = job
		tenure.handleJobTaskEnd(decider.Ended{Work: job.work(1), Task: "j_1~1.1", Ending: decider.Stopped, Checkpoint: "c"})
		assertStates(t, job, JobDone, JobUnknown)
	})
}

// TestEndsOfFormerAttempts checks the ends that a worker reports under a new term, for a task that its record shows as queued
// after one attempt: a former decider may have started it once more.
func TestEndsOfFormerAttempts(t *testing.T) {
	for _, test := range []struct {
		name    string
		task    string
		attempt int
		want    JobTaskState
		queued  bool
	}{
		{"later", "j_0~1.2", 2, JobUnknown, false},
		{"earlier", "j_0~1.0", 0, JobQueued, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			tenure := newTestTenure(t)
			job := newTestJob(JobSpec{}, JobTask{State: JobQueued, Task: "j_0~1.1", Attempts: 1})
			tenure.mu.Lock()
			defer tenure.mu.Unlock()
			tenure.jobs["j"] = job
			work := job.work(0)
			work.Attempt = test.attempt
			tenure.handleJobTaskEnd(decider.Ended{Work: work, Task: test.task, Ending: decider.Stopped})
			assertStates(t, job, test.want)
			if _, queued := tenure.decider.Lookup("j_0"); queued != test.queued {
				t.Errorf("queued: %v, want %v", queued, test.queued)
			}
		})
	}
}

// TestGrantOfEndedTask guards against the start of a task that has ended since it was queued.
func TestGrantOfEndedTask(t *testing.T) {
	tenure := newTestTenure(t)
	job := newTestJob(JobSpec{}, JobTask{State: JobDone, Task: "j_0~1.1", Attempts: 1})
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.jobs["j"] = job
	tenure.startJobTask(decider.Start{Work: job.work(0)})
	assertStates(t, job, JobDone)
}

// TestRestoredWithEndOfFormerAttempt guards against the loss of a running attempt when its decider is succeeded: a worker still
// reports the end of an attempt before it, from whose checkpoint the task was resumed.
func TestRestoredWithEndOfFormerAttempt(t *testing.T) {
	for _, test := range []struct {
		name string
		task JobTask
		want JobTaskState
	}{
		{"runsAgain", JobTask{State: JobRunning, Task: "j_0~1.2", Worker: "w", Boot: "1", Attempts: 2, Resume: "c"}, JobRunning},
		{"ended", JobTask{State: JobRunning, Task: "j_0~1.1", Worker: "v", Boot: "1", Attempts: 1}, JobQueued},
	} {
		t.Run(test.name, func(t *testing.T) {
			tenure := newTestTenure(t)
			tenure.decider.SetWorkers([]decider.WorkerInfo{{Name: "v", Address: "v"}, {Name: "w", Address: "w"}}, time.Now())
			job := newTestJob(JobSpec{Resumable: true}, test.task)
			job.Team = "t"
			work := job.work(0)
			work.Attempt = 1
			tenure.mu.Lock()
			defer tenure.mu.Unlock()
			tenure.jobs["j"] = job
			tenure.unmatchedEnds["j_0"] = unmatchedEnd{effect: decider.Ended{Work: work, Task: "j_0~1.1", Worker: "v", Ending: decider.Stopped, Checkpoint: "c"}}
			tenure.restoreTask(job, 0)
			assertStates(t, job, test.want)
		})
	}
}

// TestEndsBeforeTheirJob checks that of two ends of a task that are reported before its job is known, that of the later attempt
// counts, in either order.
func TestEndsBeforeTheirJob(t *testing.T) {
	for _, attempts := range [][2]int{{1, 2}, {2, 1}} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			tenure := newTestTenure(t)
			job := newTestJob(JobSpec{Resumable: true}, JobTask{State: JobRunning, Task: "j_0~1.2", Attempts: 2, Resume: "c"})
			ends := map[int]decider.Ended{1: {Ending: decider.Stopped, Checkpoint: "c"}, 2: {Ending: decider.Completed}}
			tenure.mu.Lock()
			defer tenure.mu.Unlock()
			for _, attempt := range attempts {
				end := ends[attempt]
				end.Work = job.work(0)
				end.Work.Attempt, end.Task = attempt, fmt.Sprintf("j_0~1.%d", attempt)
				tenure.handleJobTaskEnd(end)
			}
			tenure.jobs["j"] = job
			tenure.restoreTask(job, 0)
			assertStates(t, job, JobDone)
		})
	}
}
