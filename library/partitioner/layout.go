// Package partitioner divides the tasks of a job into parts that are stored as records of their own. A record then does not grow with the
// job, and the change of a task stores one part again instead of the whole job.
package partitioner

import "slices"

// Span is a range of consecutive tasks of one step.
type Span struct {
	Step  int // number of the step
	First int // index of its first task in the range
	End   int // index after the last one
}

// Layout divides the tasks of all steps of one occurrence, in their order, into parts of the same number of tasks. The last part may have
// fewer. A part may hold tasks of several steps.
type Layout struct {
	partSize int
	counts   []int // number of tasks of each step
	offsets  []int // number of tasks of the steps before each step
	total    int
}

// New returns the layout for steps with the given numbers of tasks and parts of partSize tasks, which is above 0.
func New(counts []int, partSize int) *Layout {
	layout := &Layout{partSize: partSize, counts: counts, offsets: make([]int, len(counts))}
	for step, count := range counts {
		layout.offsets[step] = layout.total
		layout.total += count
	}
	return layout
}

// Parts returns the number of parts.
func (layout *Layout) Parts() int { return (layout.total + layout.partSize - 1) / layout.partSize }

// PartOf returns the number of the part that holds a task, from 0.
func (layout *Layout) PartOf(step, index int) int {
	return (layout.offsets[step] + index) / layout.partSize
}

// Spans returns the tasks of a part, in the order of the steps, or none if there is no such part.
func (layout *Layout) Spans(part int) []Span {
	if part < 0 || part >= layout.Parts() {
		return nil
	}
	first, end := part*layout.partSize, min((part+1)*layout.partSize, layout.total)
	step, found := slices.BinarySearch(layout.offsets, first)
	if !found {
		step-- // the part begins within a step
	}
	var spans []Span
	for ; step < len(layout.counts) && layout.offsets[step] < end; step++ {
		offset := layout.offsets[step]
		span := Span{Step: step, First: max(first-offset, 0), End: min(end-offset, layout.counts[step])}
		if span.First < span.End {
			spans = append(spans, span)
		}
	}
	return spans
}
