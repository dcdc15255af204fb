package main

import (
	"net/http"

	"github.com/spf13/cobra"
)

var cmdAnswer = &command{
	use:     "answer JOB TASK",
	short:   "Print the stored answer of one task of a job, counted from 0",
	example: "ebonyshunt answer j.north.4ac3... 0",
	args:    cobra.ExactArgs(2),
	run: func(invocation *invocation) error {
		response, err := invocation.send(call{method: http.MethodGet, path: "/v1/jobs/" + invocation.args[0] + "/tasks/" + invocation.args[1] + "/answer"})
		if err != nil {
			return err
		}
		defer response.Body.Close()
		// The server sends a stored answer without an outcome, which printAnswer expects.
		response.Header.Set("Ebonyshunt-Outcome", "answered")
		return printAnswer(invocation, response)
	},
}
