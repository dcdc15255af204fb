package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
	"github.com/spf13/cobra"
)

var cmdWatch = &command{
	use:     "watch JOB",
	short:   "Watch a job until it ends",
	example: "ebonyshunt watch j.north.4ac3...",
	args:    cobra.ExactArgs(1),
	run:     watchJob,
}

const (
	longestLine = 64 << 20
	watchTries  = 5
)

// watchJob prints each version of a job; a cut stream is resumed after the last version.
func watchJob(invocation *invocation) error {
	var job server.Job
	for range watchTries {
		if err := watchOnce(invocation, &job); err != nil {
			return err
		}
		if job.ID != "" && job.Finished() {
			return outcomeError(job)
		}
	}
	return fail(exitUnknown, "the stream ended %d times before the job", watchTries)
}

func watchOnce(invocation *invocation, job *server.Job) error {
	path := "/v1/jobs/" + invocation.args[0] + "/events?after=" + strconv.FormatInt(job.Version, 10)
	response, err := invocation.send(call{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		if response.StatusCode >= http.StatusBadRequest {
			return problemOf(response, lines.Bytes())
		}
		if err := json.Unmarshal(lines.Bytes(), job); err != nil {
			return fail(exitFailed, "decode job: %w", err)
		}
		if invocation.json {
			fmt.Fprintln(invocation.out, lines.Text())
			continue
		}
		fmt.Fprintf(invocation.out, "version %d: %s\n", job.Version, summary(*job))
	}
	return nil
}

// summary counts the tasks of a job by state.
func summary(job server.Job) string {
	counts := map[server.JobTaskState]int{}
	for _, task := range job.Tasks {
		counts[task.State]++
	}
	states := []server.JobTaskState{server.JobQueued, server.JobRunning, server.JobDone, server.JobFailed, server.JobUnknown, server.JobCanceled, server.JobExpired}
	var parts []string
	for _, state := range states {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return strings.Join(parts, ", ")
}

func outcomeError(job server.Job) error {
	switch outcome := job.Outcome(); outcome {
	case responder.Answered:
		return nil
	case responder.NotRun:
		return fail(exitNotRun, "job %s: %s", job.ID, summary(job))
	case responder.Unknown:
		return fail(exitUnknown, "job %s: %s", job.ID, summary(job))
	case responder.Failed:
	}
	return fail(exitFailed, "job %s: %s", job.ID, summary(job))
}
