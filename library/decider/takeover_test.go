package decider

import (
	"testing"
	"time"
)

// TestDeferredWorkThatEnded guards against a second run of work that was held back until all workers are claimed, and whose
// attempt under an earlier term a worker then reports as ended: whether it may run again is decided by who receives its end.
func TestDeferredWorkThatEnded(t *testing.T) {
	for _, ending := range []Ending{Completed, Failed, Stopped} {
		t.Run(string(ending), func(t *testing.T) {
			harness := newHarness(plainSettings(), 2, fourCore)
			harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
			work := newWork("x", "one", Batch, oneCore)
			label, err := Label(work)
			if err != nil {
				t.Fatal(err)
			}
			harness.Defer(work)
			harness.ApplyReport("w000", Report{Boot: "1", Clock: 1, Term: harness.Term, Tasks: []TaskReport{{ID: "x~0.1", Label: label, Size: oneCore, Ending: ending}}}, harness.now)
			effects := harness.Tick(harness.now)
			assertGrants(t, effects, 0)
			if ended := endings(effects); ended["x"] != ending {
				t.Errorf("ended %v, want x %s", ended, ending)
			}
			assertGrants(t, harness.step(time.Second), 0)
		})
	}
}
