package recorder

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("recorder")

// Event is one line of the time line; members that do not apply are empty.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Host    string `json:"host"`
	Zone    string `json:"zone,omitempty"`
	Kind    string `json:"kind"`
	Request string `json:"request,omitempty"`
	Task    string `json:"task,omitempty"`
	Worker  string `json:"worker,omitempty"`
	Team    string `json:"team,omitempty"`
	Section string `json:"section,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// UnmarshalJSON decodes an event and refuses one without host or kind.
func (event *Event) UnmarshalJSON(data []byte) error {
	type plain Event
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if decoded.Host == "" || decoded.Kind == "" {
		return Error.New("event without host or kind")
	}
	*event = Event(decoded)
	return nil
}

// Filter selects events; an empty member matches all.
type Filter struct {
	Request string
	Task    string
	Worker  string
	Team    string
	Section string
	Kind    string
}

// Match reports whether the event passes the filter.
func (filter Filter) Match(event Event) bool {
	return either(filter.Request, event.Request) &&
		either(filter.Task, event.Task) &&
		either(filter.Worker, event.Worker) &&
		either(filter.Team, event.Team) &&
		either(filter.Section, event.Section) &&
		either(filter.Kind, event.Kind)
}

func either(want, have string) bool {
	return want == "" || want == have
}

// Merge puts the events of several processes into causal order, without repeats.
func Merge(lines ...[]Event) []Event {
	var merged []Event
	for _, line := range lines {
		merged = append(merged, line...)
	}
	slices.SortStableFunc(merged, compare)
	return slices.Compact(merged)
}

func compare(a, b Event) int {
	switch {
	case a.Stamp.Less(b.Stamp):
		return -1
	case b.Stamp.Less(a.Stamp):
		return 1
	case a.Host < b.Host:
		return -1
	case a.Host > b.Host:
		return 1
	}
	return 0
}
