// Package parser reads INI documents into typed sections and lists every mistake with its place.
package parser

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("parser")

// Mistake is one fault of a document.
type Mistake struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // from 1; 0 where no line is at fault
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"` // what is wrong and what is allowed
}

// String formats the mistake as file:line: [section] key: reason.
func (mistake Mistake) String() string {
	text := fmt.Sprintf("%s:%d: ", mistake.File, mistake.Line)
	if mistake.Section != "" {
		text += "[" + mistake.Section + "] "
	}
	if mistake.Key != "" {
		text += mistake.Key + ": "
	}
	return text + mistake.Reason
}

// Mistakes is a list of faults that is an error when not empty.
type Mistakes []Mistake

// Error lists one mistake a line.
func (mistakes Mistakes) Error() string {
	lines := make([]string, len(mistakes))
	for i, mistake := range mistakes {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (mistakes Mistakes) Err() error {
	if len(mistakes) == 0 {
		return nil
	}
	return mistakes
}

// Section is one section of a document as text, without its header line.
type Section struct {
	Name string
	Line int // of the header
	Text string
}

var header = regexp.MustCompile(`^\s*\[([^\]]*)\]\s*$`)

// Split cuts a document at its section headers; each section can then be parsed by itself.
func Split(file, text string) ([]Section, Mistakes) {
	var sections []Section
	var mistakes Mistakes
	seen := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		found := header.FindStringSubmatch(line)
		if found == nil {
			mistakes = addLine(mistakes, sections, file, i+1, line)
			continue
		}
		name := strings.Join(strings.Fields(found[1]), " ")
		if first, ok := seen[name]; ok {
			reason := fmt.Sprintf("duplicate section, first on line %d: keep one", first)
			mistakes = append(mistakes, Mistake{File: file, Line: i + 1, Section: name, Reason: reason})
		}
		seen[name] = i + 1
		sections = append(sections, Section{Name: name, Line: i + 1})
	}
	return sections, mistakes
}

func addLine(mistakes Mistakes, sections []Section, file string, number int, line string) Mistakes {
	if len(sections) > 0 {
		sections[len(sections)-1].Text += line + "\n"
		return mistakes
	}
	trimmed := strings.TrimSpace(line)
	if trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';' {
		return mistakes
	}
	reason := "text before the first section: start a section with [name]"
	return append(mistakes, Mistake{File: file, Line: number, Reason: reason})
}

// load parses the body of one section with the INI library.
func load(section Section) (*ini.Section, error) {
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreContinuation: true, IgnoreInlineComment: true}
	file, err := ini.LoadSources(options, []byte(section.Text))
	if err != nil {
		return nil, fmt.Errorf("read section %q: %w", section.Name, err)
	}
	return file.Section(ini.DefaultSection), nil
}
