package recorder

import "sync"

// Ring keeps the last events of one process.
type Ring struct {
	Clock *Clock

	host string
	zone string

	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// New returns a ring for the named host that keeps at most size events.
func New(host, zone string, size int) *Ring {
	return &Ring{Clock: &Clock{}, host: host, zone: zone, events: make([]Event, size)}
}

// Record stamps the event and adds it, in place of the oldest when the ring is full.
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

// Events returns the kept events that pass the filter, oldest first.
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
