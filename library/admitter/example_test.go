package admitter_test

import (
	"fmt"

	"ebonyshunt.org/library/admitter"
)

func ExampleGate() {
	gate := admitter.New(10)
	admitted := 0
	for range 100 {
		if gate.TryAcquire("flood") {
			admitted++
		}
	}
	fmt.Println("flood holds", admitted, "and another team may enter:", gate.TryAcquire("other"))
	// Output: flood holds 5 and another team may enter: true
}
