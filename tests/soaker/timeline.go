package soaker

import (
	"fmt"
	"sync"
	"time"
)

// timeline records when faults were under way.
type timeline struct {
	mu         sync.Mutex
	injections []*injection
}

// injection is a fault that was carried out. Its end is zero while it lasts.
type injection struct {
	fault    Fault
	from, to time.Time
}

// begin records the start of a fault.
func (timeline *timeline) begin(fault Fault) *injection {
	timeline.mu.Lock()
	defer timeline.mu.Unlock()
	injection := &injection{fault: fault, from: time.Now()}
	timeline.injections = append(timeline.injections, injection)
	return injection
}

// end records the end of a fault.
func (timeline *timeline) end(injection *injection) {
	timeline.mu.Lock()
	defer timeline.mu.Unlock()
	injection.to = time.Now()
}

// isFaultFree reports whether no fault to which the condition applies was under way in a span.
func (timeline *timeline) isFaultFree(from, to time.Time, applies func(Fault) bool) bool {
	timeline.mu.Lock()
	defer timeline.mu.Unlock()
	for _, injection := range timeline.injections {
		isOver := !injection.to.IsZero() && injection.to.Before(from)
		if applies(injection.fault) && !isOver && !injection.from.After(to) {
			return false
		}
	}
	return true
}

// drains returns the spans that are over in which workers or zones were drained.
func (timeline *timeline) drains() []injection {
	timeline.mu.Lock()
	defer timeline.mu.Unlock()
	var drains []injection
	for _, injection := range timeline.injections {
		switch injection.fault.(type) {
		case Draining, ZoneDrain:
			if !injection.to.IsZero() {
				drains = append(drains, *injection)
			}
		}
	}
	return drains
}

// lines describes all faults.
func (timeline *timeline) lines(start time.Time) []string {
	timeline.mu.Lock()
	defer timeline.mu.Unlock()
	var lines []string
	for _, injection := range timeline.injections {
		lines = append(lines, fmt.Sprintf("%7.3f to %7.3f %T%+v", injection.from.Sub(start).Seconds(), injection.to.Sub(start).Seconds(), injection.fault, injection.fault))
	}
	return lines
}

// isAny applies to all faults and changes.
func isAny(Fault) bool { return true }

// isUnplanned applies to all faults but planned changes.
func isUnplanned(fault Fault) bool {
	switch fault := fault.(type) {
	case SignalFault:
		return fault.Signal != Stop
	case Reconfiguration, Draining, ZoneDrain:
		return false
	}
	return true
}

// concerns applies to the faults after which a host is not connected for a while: its own, and those of the store.
func concerns(host int) func(Fault) bool {
	return func(fault Fault) bool {
		switch fault := fault.(type) {
		case SignalFault:
			return fault.Host == host
		case LinkFault:
			return fault.Target != WorkerLinks && fault.Host == host
		case StoreFault, Compaction:
			return true
		}
		return false
	}
}
