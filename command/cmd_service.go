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
		flags.String("size", "", "what one task takes")
		flags.String("placement", "", "pack, spread or fast")
		flags.String("maxBody", "", "most bytes of a request")
		flags.String("mediaTypes", "", "types of body, separated by commas")
		flags.String("runTime", "", "expected run time until it is learned")
	},
	run: func(invocation *invocation) error {
		values := invocation.changedFlags("owner", "upstreams", "size", "placement", "maxBody", "mediaTypes", "runTime")
		return invocation.edit("service "+invocation.args[0], values)
	},
}
