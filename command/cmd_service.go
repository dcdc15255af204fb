package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdService = &command{
	use:     "service NAME",
	short:   "Create or change a service and the upstreams that serve it",
	example: "ebonyshunt service photoCheck --owner ops --upstreams 'survey-*' --size 'cores:1 memory:512MB'",
	args:    cobra.ExactArgs(1),
	flags: func(flags *pflag.FlagSet) {
		flags.String("owner", "", "operator who may change the service")
		flags.String("upstreams", "", "patterns of worker names, separated by commas")
		flags.String("size", "", "resources that one task needs")
		flags.String("placement", "", "placement policy: pack, spread or fast")
		flags.String("maxBody", "", "maximum size of a request body in bytes")
		flags.String("mediaTypes", "", "accepted media types of request bodies, separated by commas")
		flags.String("runTime", "", "expected run time of a task, used until a run has been measured")
	},
	run: func(invocation *invocation) error {
		values := invocation.changedFlags("owner", "upstreams", "size", "placement", "maxBody", "mediaTypes", "runTime")
		return invocation.editSection("service "+invocation.args[0], values)
	},
}
