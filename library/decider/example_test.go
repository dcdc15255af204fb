package decider_test

import (
	"fmt"
	"time"

	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

func ExampleDecider() {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	term := fencer.Term{Number: 1, Holder: "entry-1"}
	deciding := decider.New(decider.DefaultSettings(), term)
	deciding.SetWorkers([]decider.WorkerInfo{{Name: "w-1", Capacity: sizer.Size{MilliCores: 4000, MemoryMB: 8192}}}, now)
	deciding.SetServices([]decider.ServiceInfo{{Name: "photoCheck", Placement: decider.Fast, Serves: func(string) bool { return true }}})
	deciding.SetTeams([]decider.TeamInfo{{Name: "survey", Share: 1}})
	deciding.ApplyReport("w-1", decider.Report{Boot: "b", Clock: 0, Term: term}, now)

	size := sizer.Size{MilliCores: 1000, MemoryMB: 512}
	deciding.Enqueue(decider.Work{ID: "r-1", Team: "survey", Service: "photoCheck", Size: size}, now)
	for _, effect := range deciding.Tick(now) {
		if start, ok := effect.(decider.Start); ok {
			fmt.Println("start", start.Work.ID, "on", start.Grant.Worker, "until", start.Grant.NotAfter, "ms")
		}
	}
	// Output: start r-1 on w-1 until 2000 ms
}
