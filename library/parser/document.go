// Package parser parses INI documents into typed sections. It reports all mistakes of a document, each with its
// file, line, section and key.
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

// Mistake is one error in a document.
type Mistake struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // counted from 1; 0 if the mistake concerns no single line
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"` // what is wrong and which values are allowed
}

// String formats the mistake as "file:line: [section] key: reason"; an empty section or key is left out.
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

// Mistakes is a list of mistakes that can be returned as one error; see Err.
type Mistakes []Mistake

// Error returns all mistakes, one per line.
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

// Section is one unparsed section of a document.
type Section struct {
	Name string // the header without brackets, its words separated by single spaces
	Line int    // line number of the header, counted from 1
	Text string // the lines that follow the header
}

var headerPattern = regexp.MustCompile(`^\s*\[([^\]]*)\]\s*$`)

// Split splits a document at its section headers, so that a mistake in one section does not affect the parsing of
// the others. It reports duplicate sections and text before the first section.
func Split(file, text string) ([]Section, Mistakes) {
	var sections []Section
	var mistakes Mistakes
	seen := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		match := headerPattern.FindStringSubmatch(line)
		if match == nil {
			mistakes = appendLine(mistakes, sections, file, i+1, line)
			continue
		}
		name := strings.Join(strings.Fields(match[1]), " ")
		if firstLine, ok := seen[name]; ok {
			reason := fmt.Sprintf("duplicate section, first on line %d: keep one", firstLine)
			mistakes = append(mistakes, Mistake{File: file, Line: i + 1, Section: name, Reason: reason})
		}
		if _, repeated := seen[name]; !repeated {
			seen[name] = i + 1
		}
		sections = append(sections, Section{Name: name, Line: i + 1})
	}
	return sections, mistakes
}

// appendLine adds a line to the last section. Before the first section it adds a mistake, unless the line is blank
// or a comment.
func appendLine(mistakes Mistakes, sections []Section, file string, number int, line string) Mistakes {
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

// loadKeys parses the text of one section with the INI library. A key that is set more than once keeps all of its
// values, so that Fields.Text can report it.
func loadKeys(section Section) (*ini.Section, error) {
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreContinuation: true, IgnoreInlineComment: true}
	file, err := ini.LoadSources(options, []byte(section.Text))
	if err != nil {
		return nil, fmt.Errorf("read section %q: %w", section.Name, err)
	}
	return file.Section(ini.DefaultSection), nil
}
