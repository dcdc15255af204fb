package tracker_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"ebonyshunt.org/library/blamer"
	"ebonyshunt.org/library/encoder"
	"ebonyshunt.org/library/tracker"
)

// TestRoundTrip guards against a field of a task that is not stored, or not restored: the next planner would decide without it.
func TestRoundTrip(t *testing.T) {
	running := tracker.Task{
		LastNumber: 4, Failures: 2, Hangs: 1, Checkpoint: "7", Avoided: []string{"w-1", "w-2"}, Evidence: blamer.Evidence{Crashes: 1, Unanswered: 2},
	}
	done := tracker.Task{LastNumber: 3, Failures: 1, Done: true}
	wantEachField(t, running, done)
	tasks := []tracker.Task{{}, running, done, {}}
	for _, first := range []int{0, 1, 128} {
		stored := encode(t, tasks, first)
		restored := make([]tracker.Task, first+len(tasks))
		listed := tracker.Restore(stored, first, func(index int) *tracker.Task {
			if index >= len(restored) {
				return nil
			}
			return &restored[index]
		})
		if got := restored[first:]; !reflect.DeepEqual(got, tasks) {
			t.Errorf("restored %+v from index %d, want %+v", got, first, tasks)
		}
		if len(listed) != len(tasks) {
			t.Errorf("%d tasks were restored from index %d, want %d", len(listed), first, len(tasks))
		}
	}
}

// wantEachField checks that each field of a task is set in one of the given tasks.
func wantEachField(t *testing.T, tasks ...tracker.Task) {
	t.Helper()
	kind := reflect.TypeFor[tracker.Task]()
	for number := range kind.NumField() {
		set := false
		for _, task := range tasks {
			set = set || !reflect.ValueOf(task).Field(number).IsZero()
		}
		if !set {
			t.Errorf("no task has a value for %s", kind.Field(number).Name)
		}
	}
}

// encode returns the progress of tasks as the next planner reads it from the journal.
func encode(t *testing.T, tasks []tracker.Task, first int) encoder.StepProgress {
	t.Helper()
	progress := tracker.Encode(func(yield func(int, *tracker.Task) bool) {
		for position := range tasks {
			if !yield(first+position, &tasks[position]) {
				return
			}
		}
	}, len(tasks))
	data, err := json.Marshal(&progress)
	if err != nil {
		t.Fatal(err)
	}
	var stored encoder.StepProgress
	if err := json.Unmarshal(data, &stored); err != nil {
		t.Fatal(err)
	}
	return stored
}

// TestGangFailures guards against a failed run of a gang that counts for each member that reports it, and against one that does not count.
func TestGangFailures(t *testing.T) {
	var gang tracker.Gang
	for number, step := range []struct {
		run  int
		want bool
	}{{1, true}, {1, false}, {1, false}, {2, true}, {2, false}, {6, true}, {6, false}, {2, false}} {
		if got := gang.CountFailure(step.run); got != step.want {
			t.Errorf("end %d: the failure of run %d counts: %v, want %v", number, step.run, got, step.want)
		}
	}
}
