// Package throttler limits the number of operations in flight by how long they take, as congestion control does.
package throttler

import "time"

// Window is a limit on operations in flight. It grows by a constant amount in the time that an operation takes while operations are in
// time, and shrinks when one is late because of the load, in the ratio of the target to the time that it took. More operations in flight
// than a host can carry do not end sooner: they only wait behind each other, and nothing that is urgent can overtake them. A Window is
// not safe for concurrent use.
type Window struct {
	Min    int           // lowest limit
	Max    int           // highest limit, and the one to begin with
	Target time.Duration // time within which an operation should end

	limit    float64 // 0 before the first change
	shrankAt time.Time
}

const (
	// growth is the number of operations by which the limit grows while as many operations as the limit end in time.
	growth = 8
	// minShrinkFactor is the least factor by which the limit shrinks at once.
	minShrinkFactor = 0.2
)

// Limit returns the number of operations that may be in flight.
func (window *Window) Limit() int { return int(window.current()) }

func (window *Window) current() float64 {
	if window.limit == 0 {
		return float64(window.Max)
	}
	return window.limit
}

// Record adjusts the limit after an operation ended that took the given time. congested reports whether the host that carries the
// operations is late itself: an operation that is late for other reasons does not shrink the limit. The limit shrinks once in the
// time that an operation takes, since those in flight began under the former limit.
func (window *Window) Record(took time.Duration, congested bool, now time.Time) {
	limit := window.current()
	switch {
	case took <= window.Target:
		limit += growth / limit
	case congested && now.Sub(window.shrankAt) >= took:
		limit *= max(window.Target.Seconds()/took.Seconds(), minShrinkFactor)
		window.shrankAt = now
	}
	window.limit = min(max(limit, float64(window.Min)), float64(window.Max))
}
