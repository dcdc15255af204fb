package blamer_test

import (
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/blamer"
)

// The kinds of crashes of a task's workers.
var (
	alone      = blamer.Loss{Worker: "w-000", Number: 1, Alone: true}
	beside     = blamer.Loss{Worker: "w-001", Number: 2}
	unanswered = blamer.Loss{Worker: "w-002", Number: 3, Alone: true, Unanswered: true}
	sound      = blamer.Loss{Worker: "w-003", Number: 4, Alone: true, Sound: true}
)

// TestCount guards against tasks that are given up for what others did, and against tasks that crash workers for ever.
func TestCount(t *testing.T) {
	for name, test := range map[string]struct {
		losses []blamer.Loss
		want   blamer.Verdict
	}{
		"oneAlone":               {[]blamer.Loss{alone}, blamer.Suspected},
		"twoAlone":               {[]blamer.Loss{alone, alone}, blamer.GivenUp},
		"theLastOneAlone":        {[]blamer.Loss{beside, alone}, blamer.GivenUp},
		"theLastOneBeside":       {[]blamer.Loss{alone, beside}, blamer.Suspected},
		"threeBeside":            {[]blamer.Loss{beside, beside, beside}, blamer.GivenUp},
		"fourUnanswered":         {[]blamer.Loss{unanswered, unanswered, unanswered, unanswered}, blamer.Suspected},
		"fiveUnanswered":         {[]blamer.Loss{unanswered, unanswered, unanswered, unanswered, unanswered}, blamer.GivenUp},
		"fiveOfBothKinds":        {[]blamer.Loss{beside, beside, unanswered, unanswered, unanswered}, blamer.GivenUp},
		"oneAloneTwoUnanswered":  {[]blamer.Loss{alone, unanswered, unanswered}, blamer.Suspected},
		"standingTaskThatRan":    {[]blamer.Loss{beside, beside, sound}, blamer.Cleared},
		"crashAfterItWasCleared": {[]blamer.Loss{beside, beside, sound, alone}, blamer.Suspected},
	} {
		t.Run(name, func(t *testing.T) {
			var evidence blamer.Evidence
			verdict := blamer.Cleared
			for position, loss := range test.losses {
				verdict = evidence.Count(loss)
				if verdict == blamer.GivenUp && position < len(test.losses)-1 {
					t.Errorf("given up after %d crashes, want %d", position+1, len(test.losses))
				}
			}
			if verdict != test.want {
				t.Errorf("verdict %d, want %d", verdict, test.want)
			}
		})
	}
}

// TestLostRuns guards against tasks that start while the workers that fell silent under them may all have crashed, and against
// tasks that wait without need.
func TestLostRuns(t *testing.T) {
	t.Run("countUntilTheWorkerIsHeardOf", func(t *testing.T) {
		evidence := blamer.Evidence{Crashes: 1, Lost: []blamer.Loss{beside, unanswered, beside}}
		wantSuspicion(t, &evidence, 4, true)
		if taken := evidence.TakeLost(beside.Worker); !slices.Equal(taken, []blamer.Loss{beside, beside}) {
			t.Errorf("lost runs %v, want those of %s", taken, beside.Worker)
		}
		wantSuspicion(t, &evidence, 2, false)
	})
	t.Run("holdForAWhile", func(t *testing.T) {
		evidence := blamer.Evidence{Lost: []blamer.Loss{beside, beside, beside}}
		if !evidence.Holds(closedAt.Add(2900*time.Millisecond)) || evidence.Holds(closedAt.Add(3*time.Second)) {
			t.Error("want the task to wait for 3 s after three lost runs")
		}
		evidence.Lost = append(evidence.Lost, unanswered, unanswered)
		if !evidence.Holds(closedAt.Add(time.Hour)) {
			t.Error("want the task to wait for as long as five lost runs are not resolved")
		}
	})
	t.Run("ofAWorkerThatIsGoneAreNotAlone", func(t *testing.T) {
		evidence := blamer.Evidence{Lost: []blamer.Loss{alone, unanswered}}
		evidence.Weaken(alone.Worker)
		if evidence.Lost[0].Alone || !evidence.Lost[1].Alone {
			t.Errorf("lost runs %+v, want only that on %s weakened", evidence.Lost, alone.Worker)
		}
	})
}

// closedAt is when all lost runs of these tests were closed.
var closedAt time.Time

// wantSuspicion checks the suspicion of a task a second after its lost runs were closed.
func wantSuspicion(t *testing.T, evidence *blamer.Evidence, want int, wantHolds bool) {
	t.Helper()
	if got := evidence.Suspicion(); got != want {
		t.Errorf("suspicion %d, want %d", got, want)
	}
	if got := evidence.Holds(closedAt.Add(time.Second)); got != wantHolds {
		t.Errorf("the task waits: %t, want %t", got, wantHolds)
	}
}

// TestRestarted guards against crashes that are concluded from incarnations that are not known.
func TestRestarted(t *testing.T) {
	for _, test := range []struct {
		former, current int64
		want            bool
	}{{1, 2, true}, {2, 1, true}, {1, 1, false}, {0, 1, false}, {1, 0, false}} {
		if got := blamer.Restarted(test.former, test.current); got != test.want {
			t.Errorf("restarted between %d and %d: %t, want %t", test.former, test.current, got, test.want)
		}
	}
}

// TestSound checks from which run time on a standing task is no suspect.
func TestSound(t *testing.T) {
	if blamer.Sound(30*time.Second-1) || !blamer.Sound(30*time.Second) {
		t.Error("want standing tasks to be sound from 30 s on")
	}
}
