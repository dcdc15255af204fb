package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"

	"ebonyshunt.org/library/parser"
	"github.com/spf13/cobra"
)

var cmdPublish = &command{
	use:   "publish FILE [SECTION...]",
	short: "Publish the sections of a document that differ from those in force",
	example: "ebonyshunt publish fleet.ini\n" +
		"ebonyshunt publish fleet.ini 'team survey' 'queue surveyLive'",
	args: cobra.MinimumNArgs(1),
	run:  publishDocument,
}

// publishDocument publishes the named sections of a document, or all of them, if they differ from those in force. Each
// section is published in its own change, so that the others are published even if one is refused.
func publishDocument(invocation *invocation) error {
	data, err := os.ReadFile(invocation.args[0])
	if err != nil {
		return exitErrorf(exitFailed, "read document: %w", err)
	}
	sections, mistakes := parser.Split(invocation.args[0], string(data))
	if err := mistakes.Err(); err != nil {
		return exitErrorf(exitFailed, "%w", err)
	}
	for _, name := range invocation.args[1:] {
		if !slices.ContainsFunc(sections, func(section parser.Section) bool { return section.Name == name }) {
			return exitErrorf(exitFailed, "%s has no section [%s]: nothing was published", invocation.args[0], name)
		}
	}
	current, err := invocation.fetchSections()
	if err != nil {
		return err
	}
	var failures []error
	for _, section := range sections {
		if len(invocation.args) > 1 && !slices.Contains(invocation.args[1:], section.Name) {
			continue
		}
		inForce := current[section.Name]
		if strings.TrimSpace(inForce.Text) == strings.TrimSpace(section.Text) && inForce.Offset > 0 {
			continue
		}
		version, err := invocation.publish(http.MethodPut, section.Name, section.Text, inForce.Offset)
		if err != nil {
			failures = append(failures, fmt.Errorf("%s:%d: [%s]: %w", invocation.args[0], section.Line, section.Name, err))
			continue
		}
		fmt.Fprintf(invocation.stdout, "[%s] version %d in force\n", section.Name, version)
	}
	return errors.Join(failures...)
}
