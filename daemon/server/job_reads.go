package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"ebonyshunt.org/library/responder"
)

const (
	// jobAnswerMemoryShare is the inverse of the part of the host's memory that jobs take on their way to callers.
	jobAnswerMemoryShare = 8
	jobAnswerMemoryLimit = "jobAnswerMemory"
)

// jobRead is the job that a caller asks for, and the memory that is claimed for it.
type jobRead struct {
	JobAnswer
	claimed []func()
}

// close returns the memory of the job.
func (jobRead *jobRead) close() {
	for _, release := range jobRead.claimed {
		release()
	}
}

// claim claims the memory of a job that takes a number of bytes. It sets a problem and returns false if there is none now.
func (jobRead *jobRead) claim(server *Server, w http.ResponseWriter, bytes int64) bool {
	release, problem := server.claimJobAnswer(w, bytes)
	if problem != nil {
		jobRead.JobAnswer = JobAnswer{Problem: problem}
		return false
	}
	jobRead.claimed = append(jobRead.claimed, release)
	return true
}

// claimJobAnswer claims the memory of a job that takes a number of bytes, until it has been sent and release is called. If there is none, the
// oldest answer that its caller has not read within a second is cut off, or else a problem is returned.
func (server *Server) claimJobAnswer(w http.ResponseWriter, bytes int64) (release func(), problem *responder.Problem) {
	controller := http.NewResponseController(w)
	bytes = min(bytes, server.jobAnswers.MaxBytes())
	claim, err := server.jobAnswers.Claim(bytes, func() { _ = controller.SetWriteDeadline(time.Now()) })
	if err != nil {
		server.limits.Record(httpListener, jobAnswerMemoryLimit)
		return nil, responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded, "the jobs that callers read take the memory for them").WithRetryAfter(limitRetryDelay)
	}
	return claim.Release, nil
}

// claimSubmittedJob claims the memory of the answer to a submission until release is called. If there is none, it removes the bodies of the
// tasks from the answer: the job was accepted, which its caller has to learn.
func (server *Server) claimSubmittedJob(w http.ResponseWriter, answer *JobAnswer) (release func()) {
	if answer.Job == nil {
		return func() {}
	}
	job := jobState{Job: *answer.Job}
	release, problem := server.claimJobAnswer(w, job.memory())
	if problem == nil {
		return release
	}
	for i := range answer.Job.Spec.Tasks {
		answer.Job.Spec.Tasks[i].Body = nil
	}
	return func() {}
}

// readJob requests a job from the decider of its home zone. If that fails, it returns the copy stored on this host, if any, or else a
// problem. A read changes nothing, so that its outcome is never unknown. If it is to wait for a version later than after and there is
// none, it returns neither a job nor a problem. The read has to be closed once the job was sent.
func (server *Server) readJob(w http.ResponseWriter, r *http.Request, call JobCall) *jobRead {
	read := &jobRead{}
	brief, err := server.describeJob(r.Context(), call)
	if err != nil {
		server.readStoredJob(read, w, call, err)
		return read
	}
	isUnchanged := call.WaitMS > 0 && brief.Version <= call.After
	if brief.Problem != nil || brief.Job != nil || isUnchanged {
		read.JobAnswer = brief
		return read
	}
	if !read.claim(server, w, brief.Bytes) {
		return read
	}
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout)
	defer cancel()
	err = server.callDecider(ctx, zoneOfJob(call.ID), methodJob, JobCall{ID: call.ID, Team: call.Team}, &read.JobAnswer)
	if err != nil {
		server.readStoredJob(read, w, call, err)
	}
	return read
}

// describeJob requests the version and the size of a job from the decider of its home zone. One of an earlier release answers with the
// job instead.
func (server *Server) describeJob(ctx context.Context, call JobCall) (JobAnswer, error) {
	wait := time.Duration(call.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+clientTimeout)
	defer cancel()
	call.Brief = true
	var answer JobAnswer
	err := server.callDecider(ctx, zoneOfJob(call.ID), methodJob, call, &answer)
	return answer, err
}

// readStoredJob reads the copy of a job that is stored on this host, since its decider could not be called.
func (server *Server) readStoredJob(read *jobRead, w http.ResponseWriter, call JobCall, cause error) {
	record, found := server.records.Get(call.ID)
	if found && !read.claim(server, w, int64(jobCopies*len(record.Data))) {
		return
	}
	var job Job
	if found && json.Unmarshal(record.Data, &job) == nil && job.isOwnedBy(call.Team) {
		read.JobAnswer = JobAnswer{Job: &job}
		return
	}
	problem := responder.Refuse(http.StatusServiceUnavailable, responder.CodeHomeUnreachable, "the home zone of job %s sent no answer: %v", call.ID, cause)
	read.JobAnswer = JobAnswer{Problem: problem.WithRetryAfter(time.Second)}
}
