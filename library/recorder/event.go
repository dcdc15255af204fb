package recorder

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("recorder")

// Event is one entry of a timeline. Members that do not apply to its kind are empty.
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

// UnmarshalJSON decodes an event and returns an error if host or kind is missing.
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

// Filter selects events by equal members. An empty member matches all events.
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
	return matches(filter.Request, event.Request) &&
		matches(filter.Task, event.Task) &&
		matches(filter.Worker, event.Worker) &&
		matches(filter.Team, event.Team) &&
		matches(filter.Section, event.Section) &&
		matches(filter.Kind, event.Kind)
}

func matches(want, have string) bool {
	return want == "" || want == have
}

// Merge returns the events of several timelines in causal order, without duplicates.
func Merge(timelines ...[]Event) []Event {
	var merged []Event
	for _, timeline := range timelines {
		merged = append(merged, timeline...)
	}
	slices.SortStableFunc(merged, compareEvents)
	return slices.Compact(merged)
}

// compareEvents orders events by stamp, and those of equal stamps by host.
func compareEvents(a, b Event) int {
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
