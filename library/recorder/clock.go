// Package recorder keeps a bounded timeline of events in each process and merges the timelines of several processes.
//
// Stamps come from a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", OPODIS 2014),
// so an event never sorts before the event that caused it, however much the wall clocks of the hosts differ.
package recorder

import (
	"sync"
	"time"
)

// Stamp is a timestamp of the hybrid logical clock.
type Stamp struct {
	Wall    int64 `json:"wall"`    // physical part, in microseconds since the Unix epoch
	Counter int64 `json:"counter"` // orders stamps of the same Wall
}

// Less reports whether stamp comes before other.
func (stamp Stamp) Less(other Stamp) bool {
	if stamp.Wall != other.Wall {
		return stamp.Wall < other.Wall
	}
	return stamp.Counter < other.Counter
}

// Time returns the physical part of the stamp in UTC.
func (stamp Stamp) Time() time.Time {
	return time.UnixMicro(stamp.Wall).UTC()
}

// Clock is a hybrid logical clock. Its zero value is ready to use. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp later than all stamps that the clock returned or received through Observe.
func (clock *Clock) Now() Stamp {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	clock.advance(time.Now().UnixMicro())
	return clock.last
}

// Observe is the receive step of the clock: it advances the clock to the stamp of a received message, so that all
// later stamps sort after it.
func (clock *Clock) Observe(stamp Stamp) {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	if clock.last.Less(stamp) {
		clock.last = stamp
	}
}

func (clock *Clock) advance(wall int64) {
	if wall > clock.last.Wall {
		clock.last = Stamp{Wall: wall}
		return
	}
	clock.last.Counter++
}
