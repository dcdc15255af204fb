// Package recorder keeps a bounded time line of events in each process and merges the time lines of many.
//
// Stamps come from a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", OPODIS 2014),
// so that an event that another one caused never sorts before it, however the wall clocks differ.
package recorder

import (
	"sync"
	"time"
)

// Stamp is a time of the hybrid logical clock.
type Stamp struct {
	Wall    int64 `json:"wall"` // microseconds since 1970
	Counter int64 `json:"counter"`
}

// Less reports whether stamp comes before other.
func (stamp Stamp) Less(other Stamp) bool {
	if stamp.Wall != other.Wall {
		return stamp.Wall < other.Wall
	}
	return stamp.Counter < other.Counter
}

// Time returns the physical part of the stamp.
func (stamp Stamp) Time() time.Time {
	return time.UnixMicro(stamp.Wall).UTC()
}

// Clock is a hybrid logical clock; its zero value is ready.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp later than all that the clock gave or saw.
func (clock *Clock) Now() Stamp {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	clock.advance(time.Now().UnixMicro())
	return clock.last
}

// See moves the clock past a stamp that came with a message.
func (clock *Clock) See(stamp Stamp) {
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
