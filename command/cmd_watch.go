package main

import (
	"bufio"
	"encoding/json"
	"errors"
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
	// maxJobLineBytes is the length of the longest line in the event stream. One line holds a whole job.
	maxJobLineBytes  = 64 << 20
	maxWatchAttempts = 5
)

// watchJob prints each version of a job until the job is finished. An event stream that ends earlier is requested again
// for the versions after the last one received, up to maxWatchAttempts streams in total.
func watchJob(invocation *invocation) error {
	var job server.Job
	for range maxWatchAttempts {
		if err := watchOnce(invocation, &job); err != nil {
			return err
		}
		if job.ID != "" && job.Finished() {
			return outcomeError(job)
		}
	}
	return exitErrorf(exitUnknown, "the event stream ended %d times before the job was finished", maxWatchAttempts)
}

// watchOnce prints the versions from one event stream until it ends. It starts after the version in job and decodes
// each version into job.
func watchOnce(invocation *invocation, job *server.Job) error {
	path := "/v1/jobs/" + invocation.args[0] + "/events?after=" + strconv.FormatInt(job.Version, 10)
	response, err := invocation.send(call{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxJobLineBytes)
	for scanner.Scan() {
		if response.StatusCode >= http.StatusBadRequest {
			return decodeProblem(response, scanner.Bytes())
		}
		if err := json.Unmarshal(scanner.Bytes(), job); err != nil {
			return exitErrorf(exitFailed, "decode job: %w", err)
		}
		if invocation.asJSON {
			fmt.Fprintln(invocation.stdout, scanner.Text())
			continue
		}
		fmt.Fprintf(invocation.stdout, "version %d: %s\n", job.Version, taskSummary(*job))
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return exitErrorf(exitFailed, "a version of the job is longer than %d bytes", maxJobLineBytes)
	} else if err != nil {
		fmt.Fprintf(invocation.stderr, "ebonyshunt: the event stream broke off: %v\n", err)
	}
	return nil
}

// taskSummary returns the number of tasks in each state, such as "1 running, 2 done".
func taskSummary(job server.Job) string {
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

// outcomeError returns nil if a finished job was answered, and otherwise an exitError with the exit code of its outcome.
func outcomeError(job server.Job) error {
	outcome := job.Outcome()
	if outcome == responder.Answered {
		return nil
	}
	return exitErrorf(exitCodeOfOutcome(outcome), "job %s: %s", job.ID, taskSummary(job))
}
