package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// storePrefix takes the next batch and stores the first of its records only, as many as given: an append to the store may end between any
// two records when its planner is killed. It reports whether the batch has more records.
func (fleet *fleet) storePrefix(count int) bool {
	batch, err := fleet.planner.Take()
	if err != nil {
		fleet.t.Fatal(err)
	}
	for _, record := range batch.Records[:min(count, len(batch.Records))] {
		if record.Value == nil {
			delete(fleet.journal, record.Key)
		} else {
			fleet.journal[record.Key] = record.Value
		}
	}
	return count < len(batch.Records)
}

// wantNoOrdersAfter checks that no task was ordered with a higher run number.
func (fleet *fleet) wantNoOrdersAfter(number int) {
	fleet.t.Helper()
	for _, order := range fleet.orders {
		if order.Number > number {
			fleet.t.Fatalf("%v was started with run number %d, want none above %d", order.Key, order.Number, number)
		}
	}
}

// TestHalfStoredGang guards against a gang of which one member is shown as done and the others start again (TWICE).
func TestHalfStoredGang(t *testing.T) {
	for stored, more := 0, true; more; stored++ {
		t.Run(fmt.Sprint(stored), func(t *testing.T) {
			fleet := newFleet(t, testStart, 48)
			fleet.submit(jobA, newGang(300, 48), dependent(newStep(1), 0))
			fleet.settle()
			fleet.markEnded(planner.TaskKey{Job: jobA}, planner.EndedDone)
			fleet.sendPolls()
			more = fleet.storePrefix(stored)
			fleet.takeOver(2, testCatalog())
			for range 5 {
				fleet.advance(200 * time.Millisecond)
			}
			fleet.wantNoOrdersAfter(1)
			if last := fleet.orders[len(fleet.orders)-1]; last.Key.Step != 1 {
				t.Errorf("the last order is for %v, want one for the step after the gang", last.Key)
			}
		})
	}
}

// TestHalfStoredEnd guards against a job whose last records are stored in part, and of which the next planner concludes something else: a
// task that has failed as often as it may starts again (BUDGET), or one that is done does (TWICE).
func TestHalfStoredEnd(t *testing.T) {
	const attempts = 2
	catalog := attemptsCatalog(attempts)
	for name, test := range map[string]struct {
		step   planner.Step
		ends   int // number of tasks whose last run ends, the others go on
		before int // failed runs before the last one
		ending planner.Ending
		want   planner.State
	}{
		"tasksFail":    {smallTasks(300), 300, attempts - 1, planner.EndedFailed, planner.Failed},
		"oneTaskFails": {smallTasks(300), 1, attempts - 1, planner.EndedFailed, planner.Failed},
		"gangFails":    {newGang(300, 48), 300, attempts - 1, planner.EndedFailed, planner.Failed},
		"memberFails":  {newGang(300, 48), 1, attempts - 1, planner.EndedFailed, planner.Failed},
		"tasksDone":    {smallTasks(300), 300, 0, planner.EndedDone, planner.Completed},
		"gangDone":     {newGang(300, 48), 300, 0, planner.EndedDone, planner.Completed},
		"memberDone":   {newGang(300, 48), 1, 0, planner.EndedDone, planner.Completed},
	} {
		for stored, more := 0, true; more; stored++ {
			t.Run(fmt.Sprintf("%s/%d", name, stored), func(t *testing.T) {
				fleet := newFleet(t, testStart, 48)
				fleet.takeOver(2, catalog)
				fleet.submit(jobA, test.step)
				fleet.settle()
				for range test.before {
					fleet.failRun(0, nil)
				}
				for index := range test.ends {
					fleet.markEnded(planner.TaskKey{Job: jobA, Index: index}, test.ending)
				}
				fleet.slowStops = true
				fleet.sendPolls()
				more = fleet.storePrefix(stored)
				fleet.takeOver(3, catalog)
				for range 5 {
					fleet.advance(200 * time.Millisecond)
				}
				fleet.wantState(jobA, test.want)
				fleet.wantNoOrdersAfter(test.before + 1)
			})
		}
	}
}
