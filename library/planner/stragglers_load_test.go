package planner_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// stragglerLoad is a load of urgent jobs of 10 tasks of 0.48 s and 11 cores on 36 workers, in which 3 of 100 tasks take 7 times
// as long, or two workers have a fifth of their speed.
type stragglerLoad struct {
	interval    time.Duration // between two jobs
	longTasks   bool          // 3 of 100 tasks take 7 times as long, each run of them
	longRuns    bool          // 3 of 100 runs take 7 times as long, another run of the same task does not
	slowWorkers bool
}

// TestStragglerLoads plays the loads with and without moves. A job has its full value within its objective and none from 3 times
// that time on; urgent jobs have to reach 0.85 where moves can help, and must not lose more than the budget where they cannot.
func TestStragglerLoads(t *testing.T) {
	const (
		targetValue = 0.85
		maxLoss     = 0.02 // hedger's share of the capacity
	)
	for name, test := range map[string]struct {
		load     stragglerLoad
		minValue float64
	}{
		"longRuns":                 {stragglerLoad{interval: 125 * time.Millisecond, longRuns: true}, targetValue},
		"slowWorkers":              {stragglerLoad{interval: 125 * time.Millisecond, slowWorkers: true}, targetValue},
		"longTasks":                {stragglerLoad{interval: 125 * time.Millisecond, longTasks: true}, 0},
		"longTasksAndSlowWorkers":  {stragglerLoad{interval: 125 * time.Millisecond, longTasks: true, slowWorkers: true}, 0},
		"metastableFailure":        {stragglerLoad{interval: 60 * time.Millisecond, longRuns: true}, 0},
		"metastableFailureOfTasks": {stragglerLoad{interval: 60 * time.Millisecond, longTasks: true, slowWorkers: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			without, _ := test.load.play(t, false)
			with, fleet := test.load.play(t, true)
			t.Logf("value %.3f without moves, %.3f with %d moves, %d won, and %d readings", without, with,
				fleet.hedgeCount(planner.HedgeBegun), fleet.hedgeCount(planner.HedgeWon), fleet.readings)
			if with < max(test.minValue, without-maxLoss) {
				t.Errorf("value %.3f with moves, %.3f without, want at least %.2f and a loss of at most %v", with, without, test.minValue, maxLoss)
			}
		})
	}
}

// play submits 300 jobs and returns their mean value.
func (stragglerLoad stragglerLoad) play(t *testing.T, moves bool) (float64, *speedFleet) {
	const jobCount, runTime = 300, 480 * time.Millisecond
	fleet := newSpeedFleet(t, 36, runTime)
	fleet.pollInterval, fleet.moves, fleet.work = time.Second, moves, stragglerLoad.runTime
	fleet.takeOver(3, testCatalog())
	if stragglerLoad.slowWorkers {
		fleet.speeds["w-003"], fleet.speeds["w-017"] = 0.2, 0.2
	}
	submitted := map[string]time.Time{}
	for number := range jobCount {
		id := fmt.Sprintf("%016x", number+1)
		submitted[id] = fleet.now
		fleet.submit(id, planner.Step{Count: 10, Size: sizer.Size{MilliCores: 11000, MemoryMB: 100}, EstimateMS: runTime.Milliseconds()})
		fleet.play(stragglerLoad.interval)
	}
	fleet.play(15 * time.Second)
	ended := map[string]time.Time{}
	for key, at := range fleet.completed {
		if at.After(ended[key.Job]) {
			ended[key.Job] = at
		}
	}
	objective := 1.5*runTime.Seconds() + 0.25 // of testCatalog
	value := 0.0
	for id, at := range submitted {
		fleet.wantState(id, planner.Completed)
		value += min(1, max(0, (3-ended[id].Sub(at).Seconds()/objective)/2))
	}
	return value / jobCount, fleet
}

// runTime returns how long a run takes: the jobs' run times vary from 0.6 to 1.4 of the estimate.
func (stragglerLoad stragglerLoad) runTime(key planner.TaskKey, number int) time.Duration {
	if !stragglerLoad.longRuns {
		number = 0
	}
	runTime := time.Duration((0.6 + 0.8*fraction(key.Job)) * float64(480*time.Millisecond))
	if (stragglerLoad.longRuns || stragglerLoad.longTasks) && fraction(fmt.Sprint(key, number)) < 0.03 {
		runTime *= 7
	}
	return runTime
}

// fraction returns a number from 0 to 1 that depends on a text only.
func fraction(text string) float64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, text)
	mixed := hash.Sum64()
	mixed = (mixed ^ mixed>>33) * 0xff51afd7ed558ccd // FNV changes few bits for the last characters
	mixed = (mixed ^ mixed>>33) * 0xc4ceb9fe1a85ec53
	return float64(mixed>>11) / (1 << 53)
}
