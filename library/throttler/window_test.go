package throttler_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/throttler"
)

const (
	windowMin    = 32
	windowMax    = 500
	windowTarget = 500 * time.Millisecond
	tick         = 10 * time.Millisecond
	settleTime   = 8 * time.Second // until operations are in time again after a change of the load
)

// server carries out operations in the order of their arrival, a constant number of them a second.
type server struct {
	window  throttler.Window
	now     time.Time
	queue   []time.Time // when the operations in flight began
	rate    float64     // operations a second
	credit  float64
	longest time.Duration // of the operations that ended since the last call of play
}

func newServer(rate float64) *server {
	return &server{
		window: throttler.Window{Min: windowMin, Max: windowMax, Target: windowTarget}, now: time.Unix(0, 0), rate: rate,
	}
}

// play offers operations for a time, as many a second as offered, and returns the rate of those that ended.
func (server *server) play(offered float64, length time.Duration) float64 {
	ended, owed := 0, 0.0
	server.longest = 0
	for range int(length / tick) {
		server.now = server.now.Add(tick)
		for owed += offered * tick.Seconds(); owed >= 1; owed-- {
			if len(server.queue) < server.window.Limit() {
				server.queue = append(server.queue, server.now)
			}
		}
		for server.credit += server.rate * tick.Seconds(); server.credit >= 1 && len(server.queue) > 0; server.credit-- {
			took := server.now.Sub(server.queue[0])
			server.queue = server.queue[1:]
			server.window.Record(took, took > windowTarget, server.now)
			server.longest = max(server.longest, took)
			ended++
		}
		server.credit = min(server.credit, 1)
	}
	return float64(ended) / length.Seconds()
}

func assertAtLeast(t *testing.T, what string, got, least float64) {
	t.Helper()
	if got < least {
		t.Errorf("%s is %.2f, want %.2f at least", what, got, least)
	}
}

// TestOverload guards against a queue of operations that is longer than callers and permissions wait (metastable failure): a host
// that is offered more than it carries goes on carrying what it can, each operation is in time again within seconds, and nothing of the
// overload remains after it.
func TestOverload(t *testing.T) {
	for _, rate := range []float64{100, 400, 2000} {
		server := newServer(rate)
		server.play(rate/2, 5*time.Second)
		for _, multiple := range []float64{1, 2, 4} {
			server.play(multiple*rate, settleTime)
			assertAtLeast(t, "share of what the host carries", server.play(multiple*rate, 5*time.Second)/rate, 0.8)
			if limit := 2 * windowTarget; server.longest > limit {
				t.Errorf("at %v a second and %v times as many offered, an operation takes %v, want %v at most", rate, multiple, server.longest, limit)
			}
		}
		server.play(rate/2, settleTime)
		assertAtLeast(t, "share of what is offered after the overload", server.play(rate/2, 5*time.Second)/(rate/2), 0.99)
	}
}

// TestOtherDelays guards against a window that shrinks since others are slow, such as the store: fewer operations in flight would
// not make them faster.
func TestOtherDelays(t *testing.T) {
	server := newServer(100)
	for range 1000 {
		server.now = server.now.Add(tick)
		server.window.Record(4*windowTarget, false, server.now)
	}
	if limit := server.window.Limit(); limit != windowMax {
		t.Errorf("bound of %d operations, want %d", limit, windowMax)
	}
}

// TestBounds checks that a window stays within its bounds, and reaches both.
func TestBounds(t *testing.T) {
	server := newServer(100)
	assertLimit := func(want int) {
		t.Helper()
		if limit := server.window.Limit(); limit != want {
			t.Errorf("bound of %d operations, want %d", limit, want)
		}
	}
	assertLimit(windowMax)
	for range 100 {
		server.now = server.now.Add(time.Minute)
		server.window.Record(time.Second, true, server.now)
	}
	assertLimit(windowMin)
	for range 1_000_000 {
		server.window.Record(tick, true, server.now)
	}
	assertLimit(windowMax)
}
