package limiter_test

import (
	"fmt"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/limiter"
	"ebonyshunt.org/library/sizer"
)

func ExampleLedger() {
	var ledger limiter.Ledger
	ledger.SetLimit("survey", sizer.Size{MilliCores: 10_000}, 1)
	demand := limiter.Demand{Team: "survey", QueuedSize: sizer.Size{MilliCores: 20_000}}
	change, _ := limiter.Plan(ledger.Account("survey"), "north", 2, demand)
	term := fencer.Term{Number: 1, Holder: "entry-1"}
	ledger.Apply(limiter.Record{Zone: "north", Term: term, Step: 1, Changes: []limiter.Change{change}}, 2)
	account := ledger.Account("survey")
	fmt.Println("north holds", account.Held("north"), "and leaves", account.Unallocated())
	// Output: north holds 8.75c 0MB and leaves 1.25c 0MB
}
