package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdDrain = &command{
	use:     "drain UPSTREAM",
	short:   "Stop sending new work to an upstream, or resume it with --undo",
	example: "ebonyshunt drain survey-north-03 --owner ops\nebonyshunt drain survey-north-03 --undo",
	args:    cobra.ExactArgs(1),
	flags: func(flags *pflag.FlagSet) {
		flags.String("owner", "", "operator who may change the upstream")
		flags.Bool("undo", false, "send work to the upstream again")
	},
	run: func(invocation *invocation) error {
		values := invocation.changedFlags("owner")
		values["drain"] = "true"
		if undo, _ := invocation.flags.GetBool("undo"); undo {
			values["drain"] = "false"
		}
		return invocation.editSection("upstream "+invocation.args[0], values)
	},
}
