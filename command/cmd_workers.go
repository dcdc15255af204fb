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
		return invocation.printStatus("WORKER\tZONE\tGRANTED\tCAPACITY\tTASKS\tSTATE\tHEARD", func(w io.Writer, zone server.StatusAnswer) {
			for _, worker := range zone.Workers {
				sinceReport := time.Duration(worker.ReportAgeMS) * time.Millisecond
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s ago\n", worker.Name, zone.Zone, worker.Granted, worker.Capacity, worker.Tasks, workerState(worker), sinceReport)
			}
		})
	},
}

// workerState returns the text for the STATE column.
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

// printStatus prints the status of the fleet as JSON if --json is set, and otherwise as a table: the header, then the
// rows that printZone writes for each zone.
func (invocation *invocation) printStatus(header string, printZone func(io.Writer, server.StatusAnswer)) error {
	status, err := invocation.fetchStatus()
	if err != nil {
		return err
	}
	return invocation.printValue(status, func(w io.Writer) {
		fmt.Fprintln(w, header)
		for _, zone := range status.Zones {
			printZone(w, zone)
		}
	})
}

// fetchStatus returns the status of all zones. It prints a warning for each zone whose decider did not answer.
func (invocation *invocation) fetchStatus() (server.FleetStatus, error) {
	var status server.FleetStatus
	if err := invocation.get("/v1/status", &status); err != nil {
		return status, err
	}
	for _, zone := range status.Unreachable {
		fmt.Fprintf(invocation.stderr, "ebonyshunt: the decider of zone %s did not answer\n", zone)
	}
	return status, nil
}
