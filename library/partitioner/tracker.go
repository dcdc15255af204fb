package partitioner

import (
	"cmp"
	"maps"
	"slices"
)

// Part identifies a part of an occurrence of a job.
type Part struct {
	Occurrence int
	Number     int // from 0
}

// Tracker knows which parts of a job have a record and which have changed since it was written. The zero value knows of none.
type Tracker struct {
	stored  map[Part]bool
	changed map[Part]bool
}

// Touch marks a part as changed.
func (tracker *Tracker) Touch(part Part) {
	if tracker.changed == nil {
		tracker.changed = map[Part]bool{}
	}
	tracker.changed[part] = true
}

// TouchStored marks the parts that have a record and that a function selects as changed.
func (tracker *Tracker) TouchStored(selects func(Part) bool) {
	for part := range tracker.stored {
		if selects(part) {
			tracker.Touch(part)
		}
	}
}

// Changed reports whether any part has changed.
func (tracker *Tracker) Changed() bool { return len(tracker.changed) > 0 }

// TakeChanged returns the changed parts in the order of their occurrences and numbers, and marks them as unchanged.
func (tracker *Tracker) TakeChanged() []Part {
	parts := slices.SortedFunc(maps.Keys(tracker.changed), func(a, b Part) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Number, b.Number))
	})
	clear(tracker.changed)
	return parts
}

// AddRecord notes that a part has a record.
func (tracker *Tracker) AddRecord(part Part) {
	if tracker.stored == nil {
		tracker.stored = map[Part]bool{}
	}
	tracker.stored[part] = true
}

// RemoveRecord notes that a part has no record any more, and reports whether it had one.
func (tracker *Tracker) RemoveRecord(part Part) bool {
	had := tracker.stored[part]
	delete(tracker.stored, part)
	return had
}
