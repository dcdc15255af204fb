package parser

import (
	"path"
	"regexp"
	"strings"
	"time"

	"ebonyshunt.org/library/sizer"
)

// Kind is the first word of a section's name.
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

// Body is a parsed section: one of Fleet, Owner, Team, Key, Queue, Service and Upstream.
type Body interface{ isBody() }

// Fleet holds what concerns all zones.
type Fleet struct {
	Zones        []string
	KeyLifetime  time.Duration // for which an idempotency key is remembered
	OfflineGrace time.Duration // for which a host cut off from everything accepts keys it knows
}

// Owner is an operator who may change the sections that name it.
type Owner struct {
	Name   string
	Digest string // SHA-256 of the operator's key, hexadecimal
}

// Team has a share for full times and an upper limit across the fleet.
type Team struct {
	Name  string
	Share float64    // weight, relative to other teams
	Limit sizer.Size // members that are 0 are unlimited
}

// Key lets its bearer act for a team.
type Key struct {
	Name      string
	Team      string
	Digest    string // SHA-256 of the key, hexadecimal
	Withdrawn bool
}

// Queue orders the work of one team, or of anyone when open.
type Queue struct {
	Name      string
	Team      string
	Open      bool // takes work without a key, for Team
	Class     string
	Services  []string // empty: all
	MaxQueued int
	Weight    float64 // among the team's queues
}

// Service is what callers name; its upstreams are given by patterns over worker names.
type Service struct {
	Name      string
	Upstreams []string
	Size      sizer.Size
	Placement string
	MaxBody   int64 // bytes
	Media     []string
	RunTime   time.Duration // expected, until learned from finished work
}

// Upstream overrides one worker.
type Upstream struct {
	Name  string
	Drain bool
}

func (Fleet) isBody()    {}
func (Owner) isBody()    {}
func (Team) isBody()     {}
func (Key) isBody()      {}
func (Queue) isBody()    {}
func (Service) isBody()  {}
func (Upstream) isBody() {}

// The classes of a queue, most pressing first.
const (
	ClassUrgent      = "urgent"
	ClassInteractive = "interactive"
	ClassBatch       = "batch"
	ClassStanding    = "standing"
)

// The placement policies of a service.
const (
	PlacePack   = "pack"
	PlaceSpread = "spread"
	PlaceFast   = "fast"
)

const (
	defaultKeyLifetime  = 10 * time.Minute
	defaultOfflineGrace = time.Hour
	defaultMaxBody      = 64 << 20
	defaultMaxQueued    = 10_000
	mostZones           = 64
	mostQueued          = 1_000_000
	mostBody            = 1 << 40
	mostShare           = 1e6
	mostSpan            = 30 * 24 * time.Hour
	defaultRunTime      = time.Second
)

var nameShape = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9.-]{0,62}$`)

// Parsed is a section that was checked by itself.
type Parsed struct {
	Name  string
	Owner string
	Body  Body
}

// ParseSection checks one section without regard to others.
func ParseSection(file string, section Section) (Parsed, Mistakes) {
	fields := NewFields(file, section)
	kind, name, _ := strings.Cut(section.Name, " ")
	parsed := Parsed{Name: section.Name, Owner: fields.Required("owner", "the operator who may change this section")}
	if Kind(kind) != KindFleet && !nameShape.MatchString(name) {
		fields.Add("", "name %q: write [%s name] with letters, digits, dots and hyphens", name, kind)
	}
	parsed.Body = parseBody(fields, Kind(kind), name)
	if parsed.Body == nil {
		fields.Add("", "unknown kind %q: use one of fleet, owner, team, key, queue, service, upstream", kind)
		return parsed, fields.Mistakes
	}
	return parsed, fields.Finish()
}

func parseBody(fields *Fields, kind Kind, name string) Body {
	switch kind {
	case KindFleet:
		return parseFleet(fields)
	case KindOwner:
		return Owner{Name: name, Digest: fields.Digest("keySHA256")}
	case KindTeam:
		return Team{Name: name, Share: fields.Number("share", 1, mostShare), Limit: fields.Size("limit")}
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
	fleet.KeyLifetime = fields.Duration("keyLifetime", defaultKeyLifetime, time.Second, mostSpan)
	fleet.OfflineGrace = fields.Duration("offlineGrace", defaultOfflineGrace, 0, mostSpan)
	if len(fleet.Zones) == 0 || len(fleet.Zones) > mostZones {
		fields.Add("zones", "has %d zones: list 1 to %d, separated by commas", len(fleet.Zones), mostZones)
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
		MaxQueued: int(fields.Integer("maxQueued", defaultMaxQueued, 1, mostQueued)),
		Weight:    fields.Number("weight", 1, mostShare),
	}
}

func parseService(fields *Fields, name string) Body {
	service := Service{
		Name:      name,
		Upstreams: fields.List("upstreams"),
		Size:      fields.Size("size"),
		Placement: fields.Choice("placement", PlaceFast, PlacePack, PlaceSpread, PlaceFast),
		MaxBody:   fields.Integer("maxBody", defaultMaxBody, 0, mostBody),
		Media:     fields.List("mediaTypes"),
		RunTime:   fields.Duration("runTime", defaultRunTime, time.Millisecond, mostSpan),
	}
	checkPatterns(fields, service.Upstreams)
	if service.Size.MilliCores <= 0 {
		fields.Add("size", "has no cores: a task needs some, such as cores:0.5 memory:256MB")
	}
	return service
}

func checkPatterns(fields *Fields, patterns []string) {
	if len(patterns) == 0 {
		fields.Add("upstreams", "missing: list patterns of worker names, such as survey-*")
	}
	for _, pattern := range patterns {
		if _, err := path.Match(pattern, ""); err != nil {
			fields.Add("upstreams", "%q is no pattern: use *, ? and [a-z]", pattern)
		}
	}
}

// Serves reports whether a worker's name matches a pattern of the service.
func (service Service) Serves(worker string) bool {
	for _, pattern := range service.Upstreams {
		if matched, _ := path.Match(pattern, worker); matched {
			return true
		}
	}
	return false
}

// Takes reports whether the queue accepts work for a service.
func (queue Queue) Takes(service string) bool {
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
