// Package loader reads and checks the settings file of a daemon.
package loader

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"ebonyshunt.org/library/parser"
)

// Settings holds the settings of an entry host.
type Settings struct {
	Host                string
	Zone                string
	Region              string
	HTTPAddress         string        // listening address for callers and operators
	PeerAddress         string        // listening address for the system's other processes
	LogAddress          string        // address of the platform's log service
	ListAddress         string        // address of the platform's list of hosts
	Stream              string        // stream of the log service that holds the configuration
	Peers               []string      // peer addresses to contact, also while the platform's list is unavailable
	RootKeyDigest       string        // SHA-256 of the root key, which may change every section
	MaxRequestsInFlight int           // maximum number of requests in flight
	MaxConnections      int64         // maximum number of connections of callers, 0 for a part of the descriptors and of MemoryMB
	MemoryMB            int64         // memory for the process, in MiB, of which clients may take parts
	TimelineSize        int           // maximum number of events in the timeline
	ShutdownGrace       time.Duration // maximum duration of a graceful shutdown
	LogLevel            string
}

const (
	defaultRequestLimit  = 4096
	defaultMemoryMB      = 1024
	defaultTimelineSize  = 8192
	defaultShutdownGrace = 30 * time.Second
	maxRequestLimit      = 1_000_000
	maxTimelineSize      = 1_000_000
	maxShutdownGrace     = time.Hour
)

// Load reads the settings file of an entry host. Mistakes in the file are returned together, as parser.Mistakes.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, mistakes := Parse(path, string(data))
	return settings, mistakes.Err()
}

// Parse decodes and checks the text of a settings file. The mistakes carry name as the file's name.
func Parse(name, text string) (Settings, parser.Mistakes) {
	var settings Settings
	mistakes := parseSections(name, text, sectionNames, requiredSectionCount, func(section string, fields *parser.Fields) bool {
		return parseSection(&settings, section, fields)
	})
	return settings.WithDefaults(), mistakes
}

// parseSections decodes the sections of a settings file with parse, which returns false for an unknown section.
// The first requiredCount sections in known must be present. It returns all mistakes in the order of their lines.
func parseSections(name, text string, known []string, requiredCount int, parse func(section string, fields *parser.Fields) bool) parser.Mistakes {
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
	for _, required := range known[:requiredCount] {
		if !found[required] {
			mistakes = append(mistakes, parser.Mistake{File: name, Section: required, Reason: "missing section: add it"})
		}
	}
	slices.SortStableFunc(mistakes, func(a, b parser.Mistake) int { return a.Line - b.Line })
	return mistakes
}

var sectionNames = []string{"host", "platform", "operators", "bounds"}

const requiredSectionCount = 3

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
		settings.RootKeyDigest = fields.Digest("rootKeySHA256")
	case "bounds":
		settings.parseBounds(fields)
	default:
		return false
	}
	return true
}

func (settings *Settings) parseBounds(fields *parser.Fields) {
	settings.MaxRequestsInFlight = int(fields.Integer("mostRequests", defaultRequestLimit, 1, maxRequestLimit))
	settings.MaxConnections = fields.Integer("mostConnections", 0, 0, MaxFileLimit)
	settings.MemoryMB = fields.Integer("memoryMB", defaultMemoryMB, minMemoryMB, maxMemoryMB)
	settings.TimelineSize = int(fields.Integer("timelineSize", defaultTimelineSize, 1, maxTimelineSize))
	settings.ShutdownGrace = fields.Duration("shutdownGrace", defaultShutdownGrace, time.Second, maxShutdownGrace)
	settings.LogLevel = fields.Choice("logLevel", "info", "debug", "info", "warn", "error")
}

// WithDefaults returns the settings with the defaults of optional settings that are not set.
func (settings Settings) WithDefaults() Settings {
	if settings.MaxRequestsInFlight == 0 {
		settings.MaxRequestsInFlight = defaultRequestLimit
	}
	if settings.MemoryMB == 0 {
		settings.MemoryMB = defaultMemoryMB
	}
	if settings.TimelineSize == 0 {
		settings.TimelineSize = defaultTimelineSize
	}
	if settings.ShutdownGrace == 0 {
		settings.ShutdownGrace = defaultShutdownGrace
	}
	if settings.Stream == "" {
		settings.Stream = "fleet"
	}
	if settings.LogLevel == "" {
		settings.LogLevel = "info"
	}
	return settings
}
