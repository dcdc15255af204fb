package scheduler

import (
	"testing"
	"time"
)

// TestPassPacer guards against a decider that is busy with placement passes: while callers waited for a batch each 8 ms, it made a pass
// of the whole fleet for each.
func TestPassPacer(t *testing.T) {
	for _, test := range []struct {
		name     string
		took     time.Duration
		maxShare float64       // of the time that passes take
		maxWait  time.Duration // until a pass
	}{
		{"smallFleet", 200 * time.Microsecond, 0.1, callerBatchInterval},
		{"largeFleet", 3 * time.Millisecond, 1.0 / passShareDivisor, batchInterval},
		{"overload", 60 * time.Millisecond, 1, 60 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var pacer passPacer
			now := time.Now()
			end := now.Add(time.Second)
			longest, spent := time.Duration(0), time.Duration(0)
			for now.Before(end) {
				began := now
				for pacer.wait(now) > 0 {
					now = now.Add(callerBatchInterval)
				}
				longest = max(longest, now.Sub(began))
				pacer.record(now, test.took)
				spent += test.took
				now = now.Add(max(test.took, callerBatchInterval))
			}
			if longest > test.maxWait {
				t.Errorf("a pass is %v after the one before it, want at most %v", longest, test.maxWait)
			}
			if share := spent.Seconds(); share > test.maxShare*1.1 {
				t.Errorf("passes take %.2f of the time, want at most %.2f", share, test.maxShare)
			}
		})
	}
}
