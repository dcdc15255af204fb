package main

import (
	"fmt"
	"io"
	"time"

	"ebonyshunt.org/daemon/server"
	"github.com/spf13/cobra"
)

var cmdWorkers = &command{
	use:     "workers",
	short:   "Show the workers of all zones",
	example: "ebonyshunt workers\nebonyshunt workers --json",
	args:    cobra.NoArgs,
	run: func(invocation *invocation) error {
		return invocation.showStatus("WORKER\tZONE\tGRANTED\tCAPACITY\tTASKS\tSTATE\tHEARD", func(w io.Writer, zone server.StatusAnswer) {
			for _, worker := range zone.Workers {
				heard := time.Duration(worker.ReportAgeMS) * time.Millisecond
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s ago\n", worker.Name, zone.Zone, worker.Granted, worker.Capacity, worker.Tasks, workerState(worker), heard)
			}
		})
	},
}

func workerState(worker server.WorkerStatus) string {
	switch {
	case !worker.Claimed:
		return "unclaimed"
	case worker.Leaving:
		return "leaving"
	case !worker.Usable:
		return "quarantined"
	}
	return "ready"
}

// showStatus prints a table with lines for each zone, or the whole status as JSON.
func (invocation *invocation) showStatus(heading string, lines func(io.Writer, server.StatusAnswer)) error {
	status, err := invocation.status()
	if err != nil {
		return err
	}
	return invocation.show(status, func(w io.Writer) {
		fmt.Fprintln(w, heading)
		for _, zone := range status.Zones {
			lines(w, zone)
		}
	})
}

// status fetches the status of all zones, and notes those that did not answer.
func (invocation *invocation) status() (server.FleetStatus, error) {
	var status server.FleetStatus
	if err := invocation.get("/v1/status", &status); err != nil {
		return status, err
	}
	for _, zone := range status.Unreachable {
		fmt.Fprintf(invocation.err, "ebonyshunt: zone %s does not answer\n", zone)
	}
	return status, nil
}
