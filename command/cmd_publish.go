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

// publishDocument publishes each section by itself, so that a refused one does not hold up the others.
func publishDocument(invocation *invocation) error {
	data, err := os.ReadFile(invocation.args[0])
	if err != nil {
		return fail(exitFailed, "read document: %w", err)
	}
	sections, mistakes := parser.Split(invocation.args[0], string(data))
	if err := mistakes.Err(); err != nil {
		return fail(exitFailed, "%w", err)
	}
	current, err := invocation.sections()
	if err != nil {
		return err
	}
	var failures []error
	for _, section := range sections {
		if len(invocation.args) > 1 && !slices.Contains(invocation.args[1:], section.Name) {
			continue
		}
		known := current[section.Name]
		if strings.TrimSpace(known.Text) == strings.TrimSpace(section.Text) && known.Offset > 0 {
			continue
		}
		version, err := invocation.publish(http.MethodPut, section.Name, section.Text, known.Offset)
		if err != nil {
			failures = append(failures, fmt.Errorf("%s:%d: [%s]: %w", invocation.args[0], section.Line, section.Name, err))
			continue
		}
		fmt.Fprintf(invocation.out, "[%s] version %d in force\n", section.Name, version)
	}
	return errors.Join(failures...)
}
