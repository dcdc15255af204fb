package main

import (
	"fmt"

	"ebonyshunt.org/library/parser"
	"github.com/spf13/cobra"
)

var cmdDiff = &command{
	use:     "diff FILE",
	short:   "Show how a document differs from the configuration in force",
	example: "ebonyshunt diff fleet.ini",
	args:    cobra.ExactArgs(1),
	run: func(invocation *invocation) error {
		sections, err := readDocument(invocation.args[0])
		if err != nil {
			return err
		}
		current, err := invocation.sections()
		if err != nil {
			return err
		}
		invocation.printDiff(sections, current)
		return nil
	},
}

func (invocation *invocation) printDiff(sections []parser.Section, current versions) {
	listed := map[string]bool{}
	for _, section := range sections {
		listed[section.Name] = true
		known := current[section.Name]
		if difference := diffText(known.Text, section.Text); difference != "" {
			fmt.Fprintf(invocation.out, "[%s] version %d\n%s", section.Name, known.Offset, difference)
		}
	}
	for _, name := range current.names() {
		if !listed[name] {
			fmt.Fprintf(invocation.out, "[%s] version %d is not in the document\n", name, current[name].Offset)
		}
	}
}
