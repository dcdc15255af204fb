// Package viewer builds immutable lookup tables from the configuration sections in force.
package viewer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sync"

	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/replayer"
	"ebonyshunt.org/library/sizer"
)

// View is the configuration in force at one log offset. It is immutable.
type View struct {
	AsOf        int64 // log offset of the last record that is part of the view
	Fleet       parser.Fleet
	Owners      map[string]parser.Owner // by digest of the operator's key; the maps below without a comment are by name
	Teams       map[string]parser.Team
	Keys        map[string]parser.Key // by digest of the API key
	Queues      map[string]parser.Queue
	Services    map[string]parser.Service
	Upstreams   map[string]parser.Upstream
	Undecodable []string // names of sections whose latest text cannot be decoded, sorted; their last decodable text stays in force
}

// Digest returns the SHA-256 digest of a key in lower-case hexadecimal.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Viewer holds the current view. It is safe for concurrent use.
type Viewer struct {
	mu     sync.Mutex
	parsed map[string]entry // by section name
	view   *View
}

// entry is the parsed state of one section.
type entry struct {
	offset      int64                // of the section's latest version
	section     parser.ParsedSection // of the last decodable text
	undecodable bool                 // the latest text cannot be decoded
	hasBody     bool                 // section is set; false for a removed section
}

// New returns a viewer with an empty view.
func New() *Viewer {
	viewer := &Viewer{parsed: map[string]entry{}}
	viewer.view = viewer.buildView(0)
	return viewer
}

// View returns the current view.
func (viewer *Viewer) View() *View {
	viewer.mu.Lock()
	defer viewer.mu.Unlock()
	return viewer.view
}

// Update applies the changed sections of a state and returns the names of those that cannot be decoded. It builds a new
// view only if the state has a higher offset than the current view.
func (viewer *Viewer) Update(state replayer.State) []string {
	viewer.mu.Lock()
	defer viewer.mu.Unlock()
	var undecodable []string
	for _, version := range state.Sections {
		if !viewer.updateSection(version) {
			undecodable = append(undecodable, version.Section)
		}
	}
	if state.AsOf > viewer.view.AsOf {
		viewer.view = viewer.buildView(state.AsOf)
	}
	return undecodable
}

// updateSection applies a version of a section, unless a later one was applied, and reports whether it could be
// decoded. The last decodable text of an undecodable section stays in force.
func (viewer *Viewer) updateSection(version replayer.Version) bool {
	current := viewer.parsed[version.Section]
	if version.Offset <= current.offset {
		return true
	}
	if version.Removed {
		viewer.parsed[version.Section] = entry{offset: version.Offset}
		return true
	}
	section, mistakes := parser.ParseSection("log", parser.Section{Name: version.Section, Text: version.Text})
	if len(mistakes) > 0 {
		current.offset = version.Offset
		current.undecodable = true
		viewer.parsed[version.Section] = current
		return false
	}
	viewer.parsed[version.Section] = entry{offset: version.Offset, section: section, hasBody: true}
	return true
}

func (viewer *Viewer) buildView(asOf int64) *View {
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
		if entry.hasBody {
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

// CheckReferences checks the references of a section to other sections, and a team's limit against the services that the
// team's queues name. It returns the mistakes; file is the file name they carry.
func (view *View) CheckReferences(file string, section parser.Section, parsed parser.ParsedSection) parser.Mistakes {
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

// checkLimit adds a mistake for each service named by the team's queues of which a single task exceeds the team's limit
// and so could never run.
func (view *View) checkLimit(fields *parser.Fields, team parser.Team) {
	for _, queue := range view.Queues {
		if queue.Team != team.Name {
			continue
		}
		for _, name := range view.servicesOf(queue) {
			service := view.Services[name]
			if reason := LimitExcessReason(service.Size, team.Limit); reason != "" {
				fields.Add("limit", "cannot hold one task of service %s of queue %s (%s): raise it", name, queue.Name, reason)
			}
		}
	}
}

// servicesOf returns the names of the services that a queue accepts: all, if it names none.
func (view *View) servicesOf(queue parser.Queue) []string {
	if len(queue.Services) > 0 {
		return queue.Services
	}
	return slices.Sorted(maps.Keys(view.Services))
}

// LimitExcessReason returns a text that names the first resource of which size exceeds a team's upper limit, such as
// "memoryMB 512 exceeds 256", or "" if none does. A resource of which limit is 0 is unlimited.
func LimitExcessReason(size, limit sizer.Size) string {
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
