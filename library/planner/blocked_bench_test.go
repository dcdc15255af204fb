package planner_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBlockedSteps measures a pass at 1,000 workers that are full, over steps without room of 20 shapes.
func BenchmarkBlockedSteps(b *testing.B) {
	for _, count := range []int{50, 1000, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			fleet := newWaitingFleet(b, 1000, false)
			fleet.add(testTeam, "batch", tasksOf(1000, 31))
			fleet.settle()
			for number := range count {
				fleet.add(fmt.Sprintf("team-%d", number%140), "batch", tasksOf(1, int64(4+number%20)))
			}
			fleet.advance(time.Second)
			for b.Loop() {
				fleet.now = fleet.now.Add(50 * time.Millisecond)
				fleet.planner.Plan(fleet.time())
			}
		})
	}
}
