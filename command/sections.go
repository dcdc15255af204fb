package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/responder"
	"github.com/google/uuid"
)

const publishTries = 3

// sections fetches the configuration in force, by name of section.
func (api *api) sections() (versions, error) {
	var answer server.SectionsAnswer
	if err := api.get("/v1/sections", &answer); err != nil {
		return nil, err
	}
	found := versions{}
	for _, version := range answer.Sections {
		found[version.Section] = version
	}
	return found, nil
}

// publish changes a section that still has the given version. An uncertain change is sent again with the
// same ID, under which it takes effect once.
func (api *api) publish(method, section, text string, base int64) (int64, error) {
	body, err := json.Marshal(server.SectionChange{ID: uuid.NewString(), Text: text})
	if err != nil {
		return 0, fail(exitFailed, "encode section: %w", err)
	}
	change := call{
		method: method,
		path:   "/v1/sections/" + url.PathEscape(strings.ReplaceAll(section, " ", "/")),
		header: map[string]string{"If-Match": strconv.FormatInt(base, 10)},
		body:   body,
	}
	change.path = strings.ReplaceAll(change.path, "%2F", "/")
	var published server.PublishAnswer
	for range publishTries {
		err = api.do(change, &published)
		var failed *failure
		if err == nil || !errors.As(err, &failed) || failed.code != exitUnknown {
			break
		}
		fmt.Fprintln(api.notes, "ebonyshunt: no answer yet, sending the change again")
	}
	if err != nil {
		return 0, api.explain(section, text, err)
	}
	return published.Version, nil
}

// explain adds to a version conflict what the other change made of the section.
func (api *api) explain(section, text string, err error) error {
	var failed *problemError
	if !errors.As(err, &failed) || failed.problem.Code() != responder.CodeConflict {
		return err
	}
	sections, fetchErr := api.sections()
	if fetchErr != nil {
		return err
	}
	current := sections[section]
	return fail(exitConflict, "%w\nin force (version %d by %s) against yours:\n%s", err, current.Offset, current.Author, diffText(current.Text, text))
}

// edit sets keys of a section, in place where they stand, and publishes it.
func (invocation *invocation) edit(section string, values map[string]string) error {
	sections, err := invocation.sections()
	if err != nil {
		return err
	}
	current := sections[section]
	text := current.Text
	for _, key := range editOrder {
		if value, set := values[key]; set {
			text = setKey(text, key, value)
		}
	}
	version, err := invocation.publish(http.MethodPut, section, text, current.Offset)
	if err != nil {
		return err
	}
	fmt.Fprintf(invocation.out, "[%s] version %d in force\n", section, version)
	return nil
}

// editOrder is the order in which new keys are written.
var editOrder = []string{
	"owner", "team", "share", "limit", "class", "open", "services", "maxQueued", "weight", "upstreams", "size",
	"placement", "maxBody", "mediaTypes", "runTime", "keySHA256", "withdrawn", "drain",
}

// setKey replaces a key's line, or adds one.
func setKey(text, key, value string) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	for i, line := range lines {
		name, _, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			lines[i] = key + " = " + value
			return strings.Join(lines, "\n") + "\n"
		}
	}
	if text == "" {
		lines = nil
	}
	return strings.Join(append(lines, key+" = "+value), "\n") + "\n"
}

// readDocument reads a document and checks each of its sections by itself.
func readDocument(path string) ([]parser.Section, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail(exitFailed, "read document: %w", err)
	}
	sections, mistakes := parser.Split(path, string(data))
	for _, section := range sections {
		_, found := parser.ParseSection(path, section)
		mistakes = append(mistakes, found...)
	}
	if len(mistakes) > 0 {
		return sections, fail(exitFailed, "%d mistakes:\n%w", len(mistakes), mistakes.Err())
	}
	return sections, nil
}

// changedFlags returns the flags that were set, by key.
func (invocation *invocation) changedFlags(names ...string) map[string]string {
	values := map[string]string{}
	for _, name := range names {
		if flag := invocation.flags.Lookup(name); flag != nil && flag.Changed {
			values[name] = flag.Value.String()
		}
	}
	return values
}
