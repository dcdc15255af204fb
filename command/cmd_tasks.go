package main

import (
	"fmt"
	"io"
	"time"

	"ebonyshunt.org/daemon/server"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdTasks = &command{
	use:     "tasks",
	short:   "Show the queued and running work items",
	example: "ebonyshunt tasks --team survey",
	args:    cobra.NoArgs,
	flags: func(flags *pflag.FlagSet) {
		flags.String("team", "", "show only the work items of this team")
	},
	run: func(invocation *invocation) error {
		team, _ := invocation.flags.GetString("team")
		return invocation.printStatus("WORK\tTEAM\tQUEUE\tSERVICE\tCLASS\tSTATE\tWORKER\tAGE", func(w io.Writer, zone server.StatusAnswer) {
			for _, task := range zone.Tasks {
				if team != "" && task.Team != team {
					continue
				}
				age := time.Duration(task.QueuedMS) * time.Millisecond
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", task.Work, task.Team, task.Queue, task.Service, task.Class, task.State, task.Worker, age)
			}
		})
	},
}
