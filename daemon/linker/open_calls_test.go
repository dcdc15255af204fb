package linker

import (
	"testing"
	"testing/synctest"
	"time"
)

// newTestCalls returns calls of which count fit, and counters of how often each of two connections and the limit were met.
func newTestCalls(count int64) (first, second *connCalls, closed map[*connCalls]int) {
	closed = map[*connCalls]int{}
	calls := newOpenCalls(&Memory{CallBytes: count * costOfCall(1), Met: func(Limit) {}})
	first = calls.add(func() { closed[first]++ })
	second = calls.add(func() { closed[second]++ })
	return first, second, closed
}

func begin(t *testing.T, conn *connCalls, count int, want bool) {
	t.Helper()
	for range count {
		if conn.begin(1) != want {
			t.Fatalf("a call was accepted: %t, want %t", !want, want)
		}
	}
}

// TestOpenCalls checks which connection is closed when the calls take too much memory.
func TestOpenCalls(t *testing.T) {
	t.Run("busiest", func(t *testing.T) {
		first, second, closed := newTestCalls(10)
		begin(t, first, 9, true)
		begin(t, second, 2, true)
		if closed[first] != 1 || closed[second] != 0 {
			t.Errorf("closed %v", closed)
		}
		begin(t, first, 1, false)
		begin(t, second, 8, true)
	})
	t.Run("itself", func(t *testing.T) {
		first, second, closed := newTestCalls(10)
		begin(t, second, 1, true)
		begin(t, first, 9, true)
		begin(t, first, 1, false)
		if closed[first] != 1 || closed[second] != 0 {
			t.Errorf("closed %v", closed)
		}
	})
	t.Run("ended", func(t *testing.T) {
		first, _, closed := newTestCalls(10)
		for range 20 {
			begin(t, first, 1, true)
			first.end(1)
		}
		if len(closed) > 0 {
			t.Errorf("closed %v", closed)
		}
	})
	t.Run("disconnected", func(t *testing.T) {
		first, second, closed := newTestCalls(10)
		begin(t, first, 9, true)
		first.remove()
		begin(t, second, 1, true)
		for range 9 {
			first.end(1)
		}
		begin(t, second, 9, true)
		if len(closed) > 0 {
			t.Errorf("closed %v", closed)
		}
	})
	t.Run("waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			first, second, _ := newTestCalls(10)
			begin(t, first, 9, true)
			first.remove()
			begin(t, second, 1, true)
			go func() {
				time.Sleep(maxMemoryWait / 2)
				first.end(1)
			}()
			began := time.Now()
			begin(t, second, 1, true)
			if waited := time.Since(began); waited < maxMemoryWait/2 || waited >= maxMemoryWait {
				t.Errorf("waited %v for the calls on a closed connection", waited)
			}
			began = time.Now()
			begin(t, second, 1, true)
			if waited := time.Since(began); waited != maxMemoryWait {
				t.Errorf("waited %v for calls that do not end", waited)
			}
		})
	})
	t.Run("largeMessages", func(t *testing.T) {
		first, _, closed := newTestCalls(10)
		if !first.begin(maxMessageBytes) || len(closed) > 0 {
			t.Error("a large message was refused, which claims its memory elsewhere")
		}
	})
	t.Run("noLimit", func(t *testing.T) {
		conn := newOpenCalls(nil).add(func() { t.Error("closed") })
		begin(t, conn, 100, true)
	})
}
