package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdTeam = &command{
	use:   "team NAME",
	short: "Create or change a team: its share and upper limit",
	example: "ebonyshunt team survey --owner ops --share 3 --limit 'cores:200 memory:400GB'\n" +
		"ebonyshunt team survey --share 4",
	args: cobra.ExactArgs(1),
	flags: func(flags *pflag.FlagSet) {
		flags.String("owner", "", "operator who may change the team")
		flags.String("share", "", "weight relative to other teams when resources are scarce")
		flags.String("limit", "", "upper limit on resources across the fleet")
	},
	run: func(invocation *invocation) error {
		return invocation.editSection("team "+invocation.args[0], invocation.changedFlags("owner", "share", "limit"))
	},
}
