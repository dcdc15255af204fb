package retrier_test

import (
	"fmt"

	"ebonyshunt.org/library/retrier"
)

func ExampleBudget() {
	budget := retrier.NewBudget(0.5, 1)
	fmt.Println(budget.Retry("survey"), budget.Retry("survey"))
	budget.RecordFirstAttempt("survey")
	budget.RecordFirstAttempt("survey")
	fmt.Println(budget.Retry("survey"))
	// Output:
	// true false
	// true
}
