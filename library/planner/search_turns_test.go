package planner_test

import (
	"fmt"
	"testing"
	"time"
)

// TestServingTaskBehindOthers is TestServingTaskBesideFillers behind urgent steps that wait for room: each pass searched for room for four
// steps only, always the first ones.
func TestServingTaskBehindOthers(t *testing.T) {
	for _, workers := range []int{1, 2, 4, 10} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			fleet := newWaitingFleet(t, workers, false)
			fills := filler(workers)
			fills.MaxPerWorker = 1
			fleet.add(testTeam, "batch", fills)
			spreadSmallTasks(fleet, workers)
			fleet.passTime(time.Second)
			for number := range int64(12) {
				fleet.add(testTeam, testQueue, tasksOf(1, 31-number%6))
			}
			fleet.passTime(2 * time.Second)
			wanted := fleet.add("other", testQueue, serving(1))
			fleet.wantStartWithin(wanted, maxStartWait)
		})
	}
}
