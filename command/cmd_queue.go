package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdQueue = &command{
	use:     "queue NAME",
	short:   "Create or change a queue",
	example: "ebonyshunt queue surveyLive --owner ops --team survey --class interactive --services photoCheck",
	args:    cobra.ExactArgs(1),
	flags: func(flags *pflag.FlagSet) {
		flags.String("owner", "", "operator who may change the queue")
		flags.String("team", "", "team whose work the queue accepts")
		flags.String("class", "", "urgent, interactive, batch or standing")
		flags.String("services", "", "services that the queue accepts, separated by commas")
		flags.String("open", "", "true to accept work without a key")
		flags.String("maxQueued", "", "maximum number of queued work items")
		flags.String("weight", "", "weight relative to the team's other queues")
	},
	run: func(invocation *invocation) error {
		values := invocation.changedFlags("owner", "team", "class", "services", "open", "maxQueued", "weight")
		return invocation.editSection("queue "+invocation.args[0], values)
	},
}
