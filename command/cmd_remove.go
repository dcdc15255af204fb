package main

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

var cmdRemove = &command{
	use:     "remove SECTION",
	short:   "Remove a section; its running work finishes, and no more of it starts",
	example: "ebonyshunt remove 'queue surveyLive'",
	args:    cobra.ExactArgs(1),
	run: func(invocation *invocation) error {
		current, err := invocation.fetchSections()
		if err != nil {
			return err
		}
		version, found := current[invocation.args[0]]
		if !found {
			return exitErrorf(exitFailed, "no section [%s] is in force: list the sections with ebonyshunt show", invocation.args[0])
		}
		if _, err := invocation.publish(http.MethodDelete, version.Section, "", version.Offset); err != nil {
			return err
		}
		fmt.Fprintf(invocation.stdout, "[%s] removed\n", version.Section)
		return nil
	},
}
