package partitioner_test

import (
	"math"
	"slices"
	"testing"

	"ebonyshunt.org/library/partitioner"
	"pgregory.net/rapid"
)

// TestSpans checks that the parts of a layout hold each task once, that PartOf names the part that holds it, and that no part is larger
// than it may be.
func TestSpans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 12).Draw(t, "counts")
		size := rapid.IntRange(1, 16).Draw(t, "size")
		layout := partitioner.New(counts, size)
		next := make([]int, len(counts)) // of the tasks of each step
		for part := range layout.Parts() {
			tasks := 0
			for _, span := range layout.Spans(part) {
				if span.First != next[span.Step] {
					t.Fatalf("part %d begins with task %d of step %d, want %d", part, span.First, span.Step, next[span.Step])
				}
				for index := span.First; index < span.End; index++ {
					if found := layout.PartOf(span.Step, index); found != part {
						t.Fatalf("task %d of step %d is in part %d, not in part %d", index, span.Step, part, found)
					}
				}
				next[span.Step] = span.End
				tasks += span.End - span.First
			}
			if tasks == 0 || tasks > size {
				t.Fatalf("part %d has %d tasks, want 1 to %d", part, tasks, size)
			}
		}
		if !slices.Equal(next, counts) {
			t.Fatalf("the parts hold %v tasks, want %v", next, counts)
		}
		if len(layout.Spans(layout.Parts())) > 0 || len(layout.Spans(-1)) > 0 || len(layout.Spans(math.MaxInt/2)) > 0 {
			t.Fatal("a part beyond the layout holds tasks")
		}
	})
}

func TestTracker(t *testing.T) {
	var tracker partitioner.Tracker
	first, second := partitioner.Part{Number: 1}, partitioner.Part{Occurrence: 1}
	tracker.Touch(second)
	tracker.Touch(first)
	if changed := tracker.TakeChanged(); !slices.Equal(changed, []partitioner.Part{first, second}) {
		t.Errorf("changed parts %v", changed)
	}
	tracker.AddRecord(first)
	tracker.AddRecord(second)
	tracker.TouchStored(func(part partitioner.Part) bool { return part.Occurrence == 1 })
	if changed := tracker.TakeChanged(); !slices.Equal(changed, []partitioner.Part{second}) {
		t.Errorf("changed parts %v, want the second one only", changed)
	}
	if !tracker.RemoveRecord(first) || tracker.RemoveRecord(first) {
		t.Error("a record can be removed once")
	}
}
