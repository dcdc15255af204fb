package main

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdForfeit = &command{
	use:     "forfeit ZONE --stopped",
	short:   "Release the slices of all upper limits that a lost zone holds",
	example: "ebonyshunt forfeit south --stopped",
	args:    cobra.ExactArgs(1),
	flags: func(flags *pflag.FlagSet) {
		flags.Bool("stopped", false, "confirm that nothing in the zone runs any more")
	},
	run: func(invocation *invocation) error {
		if stopped, _ := invocation.flags.GetBool("stopped"); !stopped {
			return exitErrorf(exitUsage, "make sure that nothing runs in zone %s any more, then say so with --stopped", invocation.args[0])
		}
		if err := invocation.do(call{method: http.MethodPost, path: "/v1/zones/" + invocation.args[0] + "/forfeit"}, nil); err != nil {
			return err
		}
		fmt.Fprintf(invocation.stdout, "zone %s holds no part of any limit\n", invocation.args[0])
		return nil
	},
}
