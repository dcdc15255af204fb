package parser

import (
	"path"
	"regexp"
	"strings"
	"time"

	"ebonyshunt.org/library/sizer"
)

// Kind is the kind of a section, which is the first word of the section's name.
type Kind string

// The kinds of section.
const (
	KindFleet    Kind = "fleet"
	KindOwner    Kind = "owner"
	KindTeam     Kind = "team"
	KindKey      Kind = "key"
	KindQueue    Kind = "queue"
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
)

// Body is the typed content of a section: one of Fleet, Owner, Team, Key, Queue, Service and Upstream.
type Body interface{ isBody() }

// Fleet holds the settings that apply to all zones.
type Fleet struct {
	Zones        []string
	KeyLifetime  time.Duration // how long an idempotency key is remembered
	OfflineGrace time.Duration // how long a host that is cut off from all sources of configuration accepts the API keys of its last configuration
}

// Owner is an operator who may change the sections that name it as their owner.
type Owner struct {
	Name   string
	Digest string // SHA-256 of the operator's key, hexadecimal
}

// Team is a group of callers, with a share of the capacity under contention and an upper limit across the fleet.
type Team struct {
	Name  string
	Share float64    // weight relative to other teams
	Limit sizer.Size // a member of 0 means unlimited
}

// Key is an API key whose bearer may act for a team.
type Key struct {
	Name      string
	Team      string
	Digest    string // SHA-256 of the key, hexadecimal
	Withdrawn bool   // the key is no longer accepted
}

// Queue holds the waiting work of one team, or of any caller if it is open.
type Queue struct {
	Name      string
	Team      string
	Open      bool // accepts work without an API key and counts it as work of Team
	Class     string
	Services  []string // accepted services; empty means all
	MaxQueued int      // maximum number of waiting tasks in each zone
	Weight    float64  // relative to the team's other queues
}

// Service is a function that callers request by name. It runs on the workers whose names match a pattern of Upstreams.
type Service struct {
	Name       string
	Upstreams  []string   // patterns in the syntax of path.Match
	Size       sizer.Size // of one task
	Placement  string
	MaxBody    int64         // maximum size of a request body in bytes
	MediaTypes []string      // accepted media types of a request body; empty means all
	RunTime    time.Duration // expected run time of a task, until it is estimated from finished tasks
}

// Upstream overrides the settings of one worker.
type Upstream struct {
	Name  string
	Drain bool // the worker gets no new tasks
}

func (Fleet) isBody()    {}
func (Owner) isBody()    {}
func (Team) isBody()     {}
func (Key) isBody()      {}
func (Queue) isBody()    {}
func (Service) isBody()  {}
func (Upstream) isBody() {}

// The classes of a queue, the most urgent one first.
const (
	ClassUrgent      = "urgent"
	ClassInteractive = "interactive"
	ClassBatch       = "batch"
	ClassStanding    = "standing"
)

// The placement policies of a service.
const (
	PlacePack   = "pack"   // prefers the fullest worker
	PlaceSpread = "spread" // prefers the worker with the fewest tasks of the service
	PlaceFast   = "fast"   // prefers the worker with the highest measured speed
)

// Defaults and upper bounds of the settings. Sizes of bodies are in bytes. Shares and weights are bounded by
// maxShare, and all durations by maxDuration.
const (
	defaultKeyLifetime  = 10 * time.Minute
	defaultOfflineGrace = time.Hour
	defaultMaxBody      = 64 << 20
	defaultMaxQueued    = 10_000
	maxZones            = 64
	maxQueuedLimit      = 1_000_000
	maxBodyLimit        = 1 << 40
	maxShare            = 1e6
	maxDuration         = 30 * 24 * time.Hour
	defaultRunTime      = time.Second
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9.-]{0,62}$`)

// ParsedSection is a parsed section whose references to other sections are not checked yet.
type ParsedSection struct {
	Name  string
	Owner string
	Body  Body
}

// ParseSection parses and checks one section without its references to other sections. The Body of the result is nil if
// the kind is unknown.
func ParseSection(file string, section Section) (ParsedSection, Mistakes) {
	fields := NewFields(file, section)
	kind, name, _ := strings.Cut(section.Name, " ")
	parsed := ParsedSection{Name: section.Name, Owner: fields.Required("owner", "the operator who may change this section")}
	if Kind(kind) != KindFleet && !namePattern.MatchString(name) {
		fields.Add("", "name %q: write [%s name] with letters, digits, dots and hyphens", name, kind)
	}
	parsed.Body = parseBody(fields, Kind(kind), name)
	if parsed.Body == nil {
		fields.Add("", "unknown kind %q: use one of fleet, owner, team, key, queue, service, upstream", kind)
		return parsed, fields.Mistakes
	}
	return parsed, fields.Finish()
}

// parseBody returns the typed content of a section, or nil if the kind is unknown.
func parseBody(fields *Fields, kind Kind, name string) Body {
	switch kind {
	case KindFleet:
		return parseFleet(fields)
	case KindOwner:
		return Owner{Name: name, Digest: fields.Digest("keySHA256")}
	case KindTeam:
		return Team{Name: name, Share: fields.Number("share", 1, maxShare), Limit: fields.Size("limit")}
	case KindKey:
		return parseKey(fields, name)
	case KindQueue:
		return parseQueue(fields, name)
	case KindService:
		return parseService(fields, name)
	case KindUpstream:
		return Upstream{Name: name, Drain: fields.Bool("drain", false)}
	}
	return nil
}

func parseFleet(fields *Fields) Body {
	fleet := Fleet{Zones: fields.List("zones")}
	fleet.KeyLifetime = fields.Duration("keyLifetime", defaultKeyLifetime, time.Second, maxDuration)
	fleet.OfflineGrace = fields.Duration("offlineGrace", defaultOfflineGrace, 0, maxDuration)
	if len(fleet.Zones) == 0 || len(fleet.Zones) > maxZones {
		fields.Add("zones", "has %d zones: list 1 to %d, separated by commas", len(fleet.Zones), maxZones)
	}
	seen := map[string]bool{}
	for _, zone := range fleet.Zones {
		if seen[zone] {
			fields.Add("zones", "zone %q is listed twice: keep one", zone)
		}
		seen[zone] = true
	}
	return fleet
}

func parseKey(fields *Fields, name string) Body {
	return Key{
		Name:      name,
		Team:      fields.Required("team", "the name of a team"),
		Digest:    fields.Digest("keySHA256"),
		Withdrawn: fields.Bool("withdrawn", false),
	}
}

func parseQueue(fields *Fields, name string) Body {
	return Queue{
		Name:      name,
		Team:      fields.Required("team", "the name of a team"),
		Open:      fields.Bool("open", false),
		Class:     fields.Choice("class", ClassInteractive, ClassUrgent, ClassInteractive, ClassBatch, ClassStanding),
		Services:  fields.List("services"),
		MaxQueued: int(fields.Integer("maxQueued", defaultMaxQueued, 1, maxQueuedLimit)),
		Weight:    fields.Number("weight", 1, maxShare),
	}
}

func parseService(fields *Fields, name string) Body {
	service := Service{
		Name:       name,
		Upstreams:  fields.List("upstreams"),
		Size:       fields.Size("size"),
		Placement:  fields.Choice("placement", PlaceFast, PlacePack, PlaceSpread, PlaceFast),
		MaxBody:    fields.Integer("maxBody", defaultMaxBody, 0, maxBodyLimit),
		MediaTypes: fields.List("mediaTypes"),
		RunTime:    fields.Duration("runTime", defaultRunTime, time.Millisecond, maxDuration),
	}
	checkPatterns(fields, service.Upstreams)
	if service.Size.MilliCores <= 0 {
		fields.Add("size", "has no cores: set more than 0 cores, such as cores:0.5 memory:256MB")
	}
	return service
}

func checkPatterns(fields *Fields, patterns []string) {
	if len(patterns) == 0 {
		fields.Add("upstreams", "missing: list patterns of worker names, such as survey-*")
	}
	for _, pattern := range patterns {
		if _, err := path.Match(pattern, ""); err != nil {
			fields.Add("upstreams", "%q is not a valid pattern: use *, ? and [a-z]", pattern)
		}
	}
}

// Serves reports whether the worker of the given name serves the service: its name matches one of the patterns.
func (service Service) Serves(worker string) bool {
	for _, pattern := range service.Upstreams {
		if matched, _ := path.Match(pattern, worker); matched {
			return true
		}
	}
	return false
}

// Accepts reports whether the queue accepts requests of a service.
func (queue Queue) Accepts(service string) bool {
	if len(queue.Services) == 0 {
		return true
	}
	for _, name := range queue.Services {
		if name == service {
			return true
		}
	}
	return false
}
