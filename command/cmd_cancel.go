package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"ebonyshunt.org/daemon/server"
	"github.com/spf13/cobra"
)

var cmdCancel = &command{
	use:     "cancel JOB|REQUEST",
	short:   "Cancel a job with a team's key, or a request with an operator's",
	example: "ebonyshunt cancel j.north.4ac3...\nebonyshunt cancel r-entry-1-7d1f...",
	args:    cobra.ExactArgs(1),
	run: func(invocation *invocation) error {
		id := invocation.args[0]
		if strings.HasPrefix(id, "r-") {
			return invocation.do(call{method: http.MethodDelete, path: "/v1/requests/" + id}, nil)
		}
		var job server.Job
		if err := invocation.do(call{method: http.MethodDelete, path: "/v1/jobs/" + id}, &job); err != nil {
			return err
		}
		return invocation.printValue(job, func(w io.Writer) { fmt.Fprintln(w, taskSummary(job)) })
	},
}
