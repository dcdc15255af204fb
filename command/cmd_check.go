package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

var cmdCheck = &command{
	use:     "check FILE",
	short:   "Check a configuration document without publishing it",
	example: "ebonyshunt check fleet.ini",
	args:    cobra.ExactArgs(1),
	run: func(invocation *invocation) error {
		sections, err := readDocument(invocation.args[0])
		if err != nil {
			return err
		}
		fmt.Fprintf(invocation.stdout, "%s: %d sections, no mistakes\n", invocation.args[0], len(sections))
		return nil
	},
}
