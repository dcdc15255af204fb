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
		current, err := invocation.fetchSections()
		if err != nil {
			return err
		}
		invocation.printDiff(sections, current)
		return nil
	},
}

func (invocation *invocation) printDiff(sections []parser.Section, current versions) {
	inDocument := map[string]bool{}
	for _, section := range sections {
		inDocument[section.Name] = true
		inForce := current[section.Name]
		if difference := diffText(inForce.Text, section.Text); difference != "" {
			fmt.Fprintf(invocation.stdout, "[%s] version %d\n%s", section.Name, inForce.Offset, difference)
		}
	}
	for _, name := range current.names() {
		if !inDocument[name] {
			fmt.Fprintf(invocation.stdout, "[%s] version %d is not in the document\n", name, current[name].Offset)
		}
	}
}
