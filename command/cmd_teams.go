package main

import (
	"fmt"
	"io"

	"ebonyshunt.org/daemon/server"
	"github.com/spf13/cobra"
)

var cmdTeams = &command{
	use:     "teams",
	short:   "Show each team's share, upper limit, slices and use, by zone",
	example: "ebonyshunt teams",
	args:    cobra.NoArgs,
	run: func(invocation *invocation) error {
		return invocation.printStatus("TEAM\tZONE\tSHARE\tLIMIT\tSLICE\tUSED\tWAITING\tDOMINANT\tAVERAGE", func(w io.Writer, zone server.StatusAnswer) {
			for _, team := range zone.Teams {
				fmt.Fprintf(w, "%s\t%s\t%g\t%s\t%s\t%s\t%d\t%.1f%%\t%.1f%%\n", team.Name, zone.Zone, team.Share, team.Limit,
					team.Slice, team.Used, team.Waiting, 100*team.Dominant, 100*team.Average)
			}
		})
	},
}
