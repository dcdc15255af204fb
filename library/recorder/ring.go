package recorder

import "sync"

// Ring is a ring buffer of the latest events of one process. It is safe for concurrent use.
type Ring struct {
	Clock *Clock

	host string
	zone string

	mu     sync.Mutex
	events []Event
	next   int  // index at which the next event is stored
	full   bool // all of events is in use, and the oldest event is at next
}

// New returns a ring for the named host and zone that holds at most size events.
func New(host, zone string, size int) *Ring {
	return &Ring{Clock: &Clock{}, host: host, zone: zone, events: make([]Event, size)}
}

// Record sets the host, zone and stamp of an event and adds it. When the ring is full, the event replaces the oldest one.
func (ring *Ring) Record(event Event) {
	event.Host = ring.host
	event.Zone = ring.zone
	ring.mu.Lock()
	defer ring.mu.Unlock()
	event.Stamp = ring.Clock.Now()
	ring.events[ring.next] = event
	ring.next++
	if ring.next == len(ring.events) {
		ring.next = 0
		ring.full = true
	}
}

// Events returns the events in the ring that match the filter, oldest first.
func (ring *Ring) Events(filter Filter) []Event {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	var found []Event
	if ring.full {
		found = appendMatches(found, ring.events[ring.next:], filter)
	}
	return appendMatches(found, ring.events[:ring.next], filter)
}

func appendMatches(found, events []Event, filter Filter) []Event {
	for _, event := range events {
		if filter.Match(event) {
			found = append(found, event)
		}
	}
	return found
}
