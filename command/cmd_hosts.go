package main

import (
	"fmt"
	"io"

	"ebonyshunt.org/daemon/server"
	"github.com/spf13/cobra"
)

var cmdHosts = &command{
	use:     "hosts",
	short:   "Show the entry hosts as known to the host that answers",
	example: "ebonyshunt hosts",
	args:    cobra.NoArgs,
	run: func(invocation *invocation) error {
		var hosts []server.HostStatus
		if err := invocation.get("/v1/hosts", &hosts); err != nil {
			return err
		}
		return invocation.printValue(hosts, func(w io.Writer) {
			fmt.Fprintln(w, "HOST\tZONE\tLISTED\tALIVE\tLEAVING\tDECIDING\tTERM\tCONFIGURATION")
			for _, host := range hosts {
				fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%v\t%v\t%s\t%d\n", host.Name, host.Zone, host.Listed, host.Alive, host.Leaving, host.Deciding, host.Term, host.AsOf)
			}
		})
	},
}
