package soaker

import (
	"testing"
	"time"

	"ebonyshunt.org/standin/caller"
	"ebonyshunt.org/standin/emulator"
)

// TestCrashedTask checks which jobs may be shown as failed after crashes of workers, and which may not (LOST).
func TestCrashedTask(t *testing.T) {
	const task, gangTask, other = "00000000000000aa.0.0.0", "00000000000000aa.0.1.0", "00000000000000bb.0.0.0"
	start := time.Unix(1_800_000_000, 0)
	run := func(task string, worker int, second time.Duration, outcome string) placedRun {
		began := start.Add(second * time.Second)
		return placedRun{emulator.RunRecord{Task: task, At: began, Ended: began.Add(500 * time.Millisecond), Outcome: outcome}, worker}
	}
	job := &job{ID: "00000000000000aa", Steps: []caller.Step{{Count: 1}, {Count: 2, Gang: true}}}
	for name, test := range map[string]struct {
		runs []placedRun
		want bool
	}{
		"none":          {nil, false},
		"one":           {[]placedRun{run(task, 1, 0, emulator.Crashed)}, false},
		"twoAlone":      {[]placedRun{run(task, 1, 0, emulator.Crashed), run(task, 2, 1, emulator.Crashed)}, true},
		"twoBeside":     {[]placedRun{run(task, 1, 0, emulator.Crashed), run(task, 2, 1, emulator.Crashed), run(other, 2, 1, emulator.Crashed)}, false},
		"neighborEnded": {[]placedRun{run(task, 1, 0, emulator.Crashed), run(other, 2, 0, emulator.Done), run(task, 2, 1, emulator.Crashed)}, true},
		"ofItsGang": {[]placedRun{
			run(gangTask, 1, 0, emulator.Crashed), run(gangTask, 2, 1, emulator.Crashed), run("00000000000000aa.0.1.1", 2, 1, emulator.Crashed),
		}, true},
		"otherMembers": {[]placedRun{run(gangTask, 1, 0, emulator.Crashed), run("00000000000000aa.0.1.1", 2, 1, emulator.Crashed)}, false},
		"threeBeside": {[]placedRun{
			run(task, 1, 0, emulator.Crashed), run(task, 2, 1, emulator.Crashed), run(task, 3, 2, emulator.Crashed), run(other, 3, 2, emulator.Crashed),
		}, true},
		"ofAnotherJob": {[]placedRun{run(other, 1, 0, emulator.Crashed), run(other, 2, 1, emulator.Crashed), run(other, 3, 2, emulator.Crashed)}, false},
		"failed":       {[]placedRun{run(task, 1, 0, emulator.Failed), run(task, 2, 1, emulator.Failed)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := hasCrashedTask(job, test.runs); got != test.want {
				t.Errorf("may be given up: %v, want %v", got, test.want)
			}
		})
	}
}

// TestProberShows checks which answers show that a version is in force: a host that never had the version before refuses its key too.
func TestProberShows(t *testing.T) {
	prober := &prober{}
	for number, step := range []struct {
		version int
		what    string
		want    bool
	}{
		{4, keyProbe, false}, {4, routeProbe, true}, {4, keyProbe, true}, {5, keyProbe, true}, {6, keyProbe, false}, {6, routeProbe, true},
	} {
		if got := prober.shows(step.version, step.what); got != step.want {
			t.Errorf("step %d: version %d by %s is shown: %v, want %v", number, step.version, step.what, got, step.want)
		}
	}
}
