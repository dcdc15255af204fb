package main

import "github.com/spf13/cobra"

var cmdWithdraw = &command{
	use:     "withdraw KEY",
	short:   "Withdraw a team's key, by the name of its section",
	example: "ebonyshunt withdraw survey.field",
	args:    cobra.ExactArgs(1),
	run: func(invocation *invocation) error {
		return invocation.editSection("key "+invocation.args[0], map[string]string{"withdrawn": "true"})
	},
}
