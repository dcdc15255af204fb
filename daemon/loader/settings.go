// Package loader reads and checks a daemon's own settings file.
package loader

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"ebonyshunt.org/library/parser"
)

// Settings are what one process has to know of itself.
type Settings struct {
	Host          string
	Zone          string
	Region        string
	HTTPAddress   string // towards callers and operators
	PeerAddress   string // towards the system's other processes
	LogAddress    string // of the platform's log service
	ListAddress   string // of the platform's list of hosts
	Stream        string
	Peers         []string // peer addresses to ask while the list is not to be had
	RootDigest    string   // SHA-256 of the key that may change every section
	MostRequests  int      // in flight at once
	TimelineSize  int      // events
	ShutdownGrace time.Duration
	LogLevel      string
}

const (
	defaultRequests = 4096
	defaultTimeline = 8192
	defaultGrace    = 30 * time.Second
	mostRequests    = 1_000_000
	mostTimeline    = 1_000_000
	longestGrace    = time.Hour
)

// Load reads a settings file and returns every mistake in it as parser.Mistakes.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, mistakes := Parse(path, string(data))
	return settings, mistakes.Err()
}

// Parse checks the text of a settings file; name stands in its mistakes.
func Parse(name, text string) (Settings, parser.Mistakes) {
	var settings Settings
	mistakes := parseSections(name, text, sectionNames, requiredSections, func(section string, fields *parser.Fields) bool {
		return parseSection(&settings, section, fields)
	})
	return settings.WithDefaults(), mistakes
}

// parseSections reads the sections of a settings file, of which the first few that are known are required.
func parseSections(name, text string, known []string, required int, parse func(section string, fields *parser.Fields) bool) parser.Mistakes {
	sections, mistakes := parser.Split(name, text)
	found := map[string]bool{}
	for _, section := range sections {
		found[section.Name] = true
		fields := parser.NewFields(name, section)
		if !parse(section.Name, fields) {
			reason := fmt.Sprintf("unknown section: use one of %s", strings.Join(known, ", "))
			mistakes = append(mistakes, parser.Mistake{File: name, Line: section.Line, Section: section.Name, Reason: reason})
			continue
		}
		mistakes = append(mistakes, fields.Finish()...)
	}
	for _, wanted := range known[:required] {
		if !found[wanted] {
			mistakes = append(mistakes, parser.Mistake{File: name, Section: wanted, Reason: "missing section: add it"})
		}
	}
	slices.SortStableFunc(mistakes, func(a, b parser.Mistake) int { return a.Line - b.Line })
	return mistakes
}

var sectionNames = []string{"host", "platform", "operators", "bounds"}

const requiredSections = 3

func parseSection(settings *Settings, name string, fields *parser.Fields) bool {
	switch name {
	case "host":
		settings.Host = fields.Required("name", "the name of this host")
		settings.Zone = fields.Required("zone", "the availability zone of this host")
		settings.Region = fields.Text("region", "")
		settings.HTTPAddress = fields.Address("httpAddress", "")
		settings.PeerAddress = fields.Address("peerAddress", "")
		settings.Peers = fields.Addresses("peers")
		if settings.HTTPAddress != "" && settings.HTTPAddress == settings.PeerAddress {
			fields.Add("peerAddress", "%q is httpAddress too: give each its own port", settings.PeerAddress)
		}
	case "platform":
		settings.LogAddress = fields.Address("logAddress", "")
		settings.ListAddress = fields.Address("listAddress", "")
		settings.Stream = fields.Text("stream", "fleet")
	case "operators":
		settings.RootDigest = fields.Digest("rootKeySHA256")
	case "bounds":
		settings.parseBounds(fields)
	default:
		return false
	}
	return true
}

func (settings *Settings) parseBounds(fields *parser.Fields) {
	settings.MostRequests = int(fields.Integer("mostRequests", defaultRequests, 1, mostRequests))
	settings.TimelineSize = int(fields.Integer("timelineSize", defaultTimeline, 1, mostTimeline))
	settings.ShutdownGrace = fields.Duration("shutdownGrace", defaultGrace, time.Second, longestGrace)
	settings.LogLevel = fields.Choice("logLevel", "info", "debug", "info", "warn", "error")
}

// WithDefaults fills the bounds that are not set.
func (settings Settings) WithDefaults() Settings {
	if settings.MostRequests == 0 {
		settings.MostRequests = defaultRequests
	}
	if settings.TimelineSize == 0 {
		settings.TimelineSize = defaultTimeline
	}
	if settings.ShutdownGrace == 0 {
		settings.ShutdownGrace = defaultGrace
	}
	if settings.Stream == "" {
		settings.Stream = "fleet"
	}
	if settings.LogLevel == "" {
		settings.LogLevel = "info"
	}
	return settings
}
