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

const maxPublishAttempts = 3

// fetchSections returns the sections in force by name.
func (apiClient *apiClient) fetchSections() (versions, error) {
	var answer server.SectionsAnswer
	if err := apiClient.get("/v1/sections", &answer); err != nil {
		return nil, err
	}
	byName := versions{}
	for _, version := range answer.Sections {
		byName[version.Section] = version
	}
	return byName, nil
}

// publish replaces the text of a section (PUT) or removes it (DELETE) and returns the new version. The change is refused
// if the section no longer has the base version. If the outcome is unknown, the change is sent again, at most
// maxPublishAttempts times in total. All attempts carry the same ID, so that the change takes effect only once.
func (apiClient *apiClient) publish(method, section, text string, baseVersion int64) (int64, error) {
	body, err := json.Marshal(server.SectionChange{ID: uuid.NewString(), Text: text})
	if err != nil {
		return 0, exitErrorf(exitFailed, "encode section: %w", err)
	}
	change := call{
		method: method,
		path:   "/v1/sections/" + url.PathEscape(strings.ReplaceAll(section, " ", "/")),
		header: map[string]string{"If-Match": strconv.FormatInt(baseVersion, 10)},
		body:   body,
	}
	change.path = strings.ReplaceAll(change.path, "%2F", "/")
	var published server.PublishAnswer
	for range maxPublishAttempts {
		err = apiClient.do(change, &published)
		var exitErr *exitError
		if err == nil || !errors.As(err, &exitErr) || exitErr.code != exitUnknown {
			break
		}
		fmt.Fprintln(apiClient.warnings, "ebonyshunt: the outcome of the change is unknown, sending it again with the same ID")
	}
	if err != nil {
		return 0, apiClient.addConflictDiff(section, text, err)
	}
	return published.Version, nil
}

// addConflictDiff adds to a version conflict the differences between the section in force and the refused text. It
// returns any other error unchanged.
func (apiClient *apiClient) addConflictDiff(section, text string, err error) error {
	var problemErr *problemError
	if !errors.As(err, &problemErr) || problemErr.problem.Code() != responder.CodeConflict {
		return err
	}
	sections, fetchErr := apiClient.fetchSections()
	if fetchErr != nil {
		return err
	}
	current := sections[section]
	return exitErrorf(exitConflict, "%w\ndifferences from version %d by %s, which is in force (-), to the refused text (+):\n%s", err, current.Offset, current.Author, diffText(current.Text, text))
}

// editSection sets keys in the section in force and publishes the result. Keys that the section has stay on their line;
// others are appended.
func (invocation *invocation) editSection(section string, values map[string]string) error {
	sections, err := invocation.fetchSections()
	if err != nil {
		return err
	}
	current := sections[section]
	text := current.Text
	for _, key := range newKeyOrder {
		if value, set := values[key]; set {
			text = setKey(text, key, value)
		}
	}
	version, err := invocation.publish(http.MethodPut, section, text, current.Offset)
	if err != nil {
		return err
	}
	fmt.Fprintf(invocation.stdout, "[%s] version %d in force\n", section, version)
	return nil
}

// newKeyOrder lists all keys that editSection can set, in the order in which it appends new ones.
var newKeyOrder = []string{
	"owner", "team", "share", "limit", "class", "open", "services", "maxQueued", "weight", "upstreams", "size",
	"placement", "maxBody", "mediaTypes", "runTime", "keySHA256", "withdrawn", "drain",
}

// setKey returns the text of a section with the key set to a value. It replaces the first line of the key, or appends
// a line if there is none.
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

// readDocument reads a configuration document and checks each section on its own, without its references to other
// sections. With mistakes, it returns the sections and an error that lists all mistakes.
func readDocument(path string) ([]parser.Section, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, exitErrorf(exitFailed, "read document: %w", err)
	}
	sections, mistakes := parser.Split(path, string(data))
	for _, section := range sections {
		_, sectionMistakes := parser.ParseSection(path, section)
		mistakes = append(mistakes, sectionMistakes...)
	}
	if len(mistakes) > 0 {
		return sections, exitErrorf(exitFailed, "%d mistakes:\n%w", len(mistakes), mistakes.Err())
	}
	return sections, nil
}

// changedFlags returns the values of the named flags that were set on the command line, by flag name. The name of such
// a flag is the name of a key in the section.
func (invocation *invocation) changedFlags(names ...string) map[string]string {
	values := map[string]string{}
	for _, name := range names {
		if flag := invocation.flags.Lookup(name); flag != nil && flag.Changed {
			values[name] = flag.Value.String()
		}
	}
	return values
}
