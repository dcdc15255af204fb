package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"ebonyshunt.org/daemon/server"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdSubmit = &command{
	use:   "submit FILE | submit --service NAME --count N",
	short: "Submit a job and print its ID",
	example: "ebonyshunt submit job.json --once friday-17\n" +
		"ebonyshunt submit --service reconcile --count 20 --idempotent",
	args: cobra.MaximumNArgs(1),
	flags: func(flags *pflag.FlagSet) {
		flags.String("service", "", "service of the tasks, if there is no FILE")
		flags.String("target", "", "path and query of each task")
		flags.String("queue", "", "queue to use if the team has several for the service")
		flags.Int("count", 1, "number of tasks")
		flags.Bool("gang", false, "start all tasks at the same time or none of them")
		flags.Bool("standing", false, "keep the tasks running until canceled: restart them when they end")
		flags.Bool("idempotent", false, "tasks may run again after a failure")
		flags.Bool("resumable", false, "tasks may be checkpointed and resumed")
		flags.String("once", "", "idempotency key")
	},
	run: submitJob,
}

func submitJob(invocation *invocation) error {
	body, err := jobBody(invocation)
	if err != nil {
		return err
	}
	submit := call{method: http.MethodPost, path: "/v1/jobs", header: map[string]string{"Content-Type": "application/json"}, body: body}
	if once, _ := invocation.flags.GetString("once"); once != "" {
		submit.header["Idempotency-Key"] = once
	}
	var job server.Job
	if err := invocation.do(submit, &job); err != nil {
		return err
	}
	return invocation.printValue(job, func(w io.Writer) { fmt.Fprintln(w, job.ID) })
}

// jobBody returns the JSON specification of the job: the content of the file, or one built from the flags.
func jobBody(invocation *invocation) ([]byte, error) {
	if len(invocation.args) == 1 {
		data, err := os.ReadFile(invocation.args[0])
		if err != nil {
			return nil, exitErrorf(exitFailed, "read job: %w", err)
		}
		return data, nil
	}
	var spec server.JobSpec
	spec.Service, _ = invocation.flags.GetString("service")
	if spec.Service == "" {
		return nil, exitErrorf(exitUsage, "no job given: name a FILE or a --service")
	}
	spec.Queue, _ = invocation.flags.GetString("queue")
	spec.Gang, _ = invocation.flags.GetBool("gang")
	spec.Standing, _ = invocation.flags.GetBool("standing")
	spec.Idempotent, _ = invocation.flags.GetBool("idempotent")
	spec.Resumable, _ = invocation.flags.GetBool("resumable")
	target, _ := invocation.flags.GetString("target")
	count, _ := invocation.flags.GetInt("count")
	for range count {
		spec.Tasks = append(spec.Tasks, server.TaskSpec{Target: target})
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, exitErrorf(exitFailed, "encode job: %w", err)
	}
	return body, nil
}
