package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// BenchmarkOverload plans once over a fleet of the grown size with many steps waiting on full workers.
func BenchmarkOverload(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	cell := newCell(b, now, 252)
	cell.planner.SetSlots(planner.Slots{Short: 10, Long: 20})
	for number := range 600 {
		cell.submit(fmt.Sprintf("%016x", number), planner.Step{Count: 10, Size: sizer.Size{MilliCores: 5300, MemoryMB: 5000}, EstimateMS: 900})
	}
	cell.settle()
	b.ResetTimer()
	for range b.N {
		now = now.Add(20 * time.Millisecond)
		cell.planner.Plan(now)
	}
}
