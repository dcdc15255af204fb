// Package viewer turns the sections in force into tables that requests are checked against.
package viewer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"

	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/replayer"
	"ebonyshunt.org/library/sizer"
)

// View is the configuration in force at one offset. It is not changed once made.
type View struct {
	AsOf        int64
	Fleet       parser.Fleet
	Owners      map[string]parser.Owner // by digest
	Teams       map[string]parser.Team
	Keys        map[string]parser.Key // by digest
	Queues      map[string]parser.Queue
	Services    map[string]parser.Service
	Upstreams   map[string]parser.Upstream
	Undecodable []string // sections whose last decodable text stays in force
}

// Digest returns the SHA-256 of a key in hexadecimal.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Viewer keeps the present view.
type Viewer struct {
	mu     sync.Mutex
	parsed map[string]entry
	view   *View
}

type entry struct {
	number      int64
	section     parser.Parsed
	undecodable bool
	present     bool // has a decodable text
}

// New returns a viewer whose view is empty.
func New() *Viewer {
	viewer := &Viewer{parsed: map[string]entry{}}
	viewer.view = viewer.build(0)
	return viewer
}

// View returns the present view.
func (viewer *Viewer) View() *View {
	viewer.mu.Lock()
	defer viewer.mu.Unlock()
	return viewer.view
}

// Update takes over the sections that changed and returns the names of those that do not decode.
func (viewer *Viewer) Update(state replayer.State) []string {
	viewer.mu.Lock()
	defer viewer.mu.Unlock()
	var refused []string
	for _, version := range state.Sections {
		if !viewer.update(version) {
			refused = append(refused, version.Section)
		}
	}
	if state.AsOf > viewer.view.AsOf {
		viewer.view = viewer.build(state.AsOf)
	}
	return refused
}

func (viewer *Viewer) update(version replayer.Version) bool {
	known := viewer.parsed[version.Section]
	if version.Number <= known.number {
		return true
	}
	if version.Removed {
		viewer.parsed[version.Section] = entry{number: version.Number}
		return true
	}
	section, mistakes := parser.ParseSection("log", parser.Section{Name: version.Section, Text: version.Text})
	if len(mistakes) > 0 {
		known.number = version.Number
		known.undecodable = true
		viewer.parsed[version.Section] = known
		return false
	}
	viewer.parsed[version.Section] = entry{number: version.Number, section: section, present: true}
	return true
}

func (viewer *Viewer) build(asOf int64) *View {
	view := &View{
		AsOf:      asOf,
		Owners:    map[string]parser.Owner{},
		Teams:     map[string]parser.Team{},
		Keys:      map[string]parser.Key{},
		Queues:    map[string]parser.Queue{},
		Services:  map[string]parser.Service{},
		Upstreams: map[string]parser.Upstream{},
	}
	for name, entry := range viewer.parsed {
		if entry.undecodable {
			view.Undecodable = append(view.Undecodable, name)
		}
		if entry.present {
			view.add(entry.section.Body)
		}
	}
	slices.Sort(view.Undecodable)
	return view
}

func (view *View) add(body parser.Body) {
	switch body := body.(type) {
	case parser.Fleet:
		view.Fleet = body
	case parser.Owner:
		view.Owners[body.Digest] = body
	case parser.Team:
		view.Teams[body.Name] = body
	case parser.Key:
		view.Keys[body.Digest] = body
	case parser.Queue:
		view.Queues[body.Name] = body
	case parser.Service:
		view.Services[body.Name] = body
	case parser.Upstream:
		view.Upstreams[body.Name] = body
	}
}

// CheckReferences returns the mistakes of a section against the sections in force.
func (view *View) CheckReferences(file string, section parser.Section, parsed parser.Parsed) parser.Mistakes {
	fields := parser.NewFields(file, section)
	switch body := parsed.Body.(type) {
	case parser.Key:
		view.checkTeam(fields, body.Team)
	case parser.Queue:
		view.checkTeam(fields, body.Team)
		for _, name := range body.Services {
			if _, found := view.Services[name]; !found {
				fields.Add("services", "unknown service %q: publish [service %s] first", name, name)
			}
		}
	case parser.Team:
		view.checkLimit(fields, body)
	case parser.Fleet, parser.Owner, parser.Service, parser.Upstream:
	}
	return fields.Mistakes
}

func (view *View) checkTeam(fields *parser.Fields, name string) {
	if _, found := view.Teams[name]; !found {
		fields.Add("team", "unknown team %q: publish [team %s] first", name, name)
	}
}

// checkLimit refuses a limit under which nothing that the team's queues take could ever run.
func (view *View) checkLimit(fields *parser.Fields, team parser.Team) {
	for _, queue := range view.Queues {
		if queue.Team != team.Name {
			continue
		}
		for _, name := range queue.Services {
			service := view.Services[name]
			if reason := OverLimit(service.Size, team.Limit); reason != "" {
				fields.Add("limit", "cannot hold one task of service %s of queue %s (%s): raise it", name, queue.Name, reason)
			}
		}
	}
}

// OverLimit says which member of a size exceeds a team's upper limit, or returns "".
func OverLimit(size, limit sizer.Size) string {
	switch {
	case limit.MilliCores > 0 && size.MilliCores > limit.MilliCores:
		return fmt.Sprintf("milliCores %d exceeds %d", size.MilliCores, limit.MilliCores)
	case limit.MemoryMB > 0 && size.MemoryMB > limit.MemoryMB:
		return fmt.Sprintf("memoryMB %d exceeds %d", size.MemoryMB, limit.MemoryMB)
	case limit.Accelerators > 0 && size.Accelerators > limit.Accelerators:
		return fmt.Sprintf("accelerators %d exceeds %d", size.Accelerators, limit.Accelerators)
	}
	return ""
}
