package main

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"
)

var cmdShow = &command{
	use:     "show [SECTION...]",
	short:   "Show sections in force, as a document",
	example: "ebonyshunt show\nebonyshunt show 'team survey' --json",
	args:    cobra.ArbitraryArgs,
	run: func(invocation *invocation) error {
		current, err := invocation.fetchSections()
		if err != nil {
			return err
		}
		for _, name := range invocation.args {
			if _, found := current[name]; !found {
				return exitErrorf(exitFailed, "no section [%s] is in force: list the sections with ebonyshunt show", name)
			}
		}
		for name := range current {
			if len(invocation.args) > 0 && !slices.Contains(invocation.args, name) {
				delete(current, name)
			}
		}
		return invocation.printValue(current, func(w io.Writer) {
			for _, name := range current.names() {
				fmt.Fprintf(w, "# version %d by %s\n[%s]\n%s\n", current[name].Offset, current[name].Author, name, current[name].Text)
			}
		})
	},
}
