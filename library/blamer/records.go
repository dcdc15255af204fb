package blamer

import (
	"slices"
	"time"
)

// Records is what a journal keeps of the evidence against the tasks of a step. The keys of the maps are task indexes.
type Records struct {
	Crashes map[int]int `json:"crashes,omitempty"` // numbers of crashes that count against tasks
	Lost    []LostRun   `json:"lost,omitempty"`
	// Unanswered holds the numbers of crashes of workers that did not answer the order.
	Unanswered map[int]int `json:"unanswered,omitempty"`
}

// LostRun is the record of a task's run on a worker that fell silent and was not heard of since.
type LostRun struct {
	Index int `json:"index"`
	Loss
}

// Add adds the evidence against the task with the given index.
func (records *Records) Add(index int, evidence *Evidence) {
	records.Crashes = setCount(records.Crashes, index, evidence.Crashes)
	records.Unanswered = setCount(records.Unanswered, index, evidence.Unanswered)
	for _, loss := range evidence.Lost {
		records.Lost = append(records.Lost, LostRun{Index: index, Loss: loss})
	}
}

// setCount sets the count of a task unless that is 0, in a map that is created if needed.
func setCount(counts map[int]int, index, count int) map[int]int {
	if count == 0 {
		return counts
	}
	if counts == nil {
		counts = map[int]int{}
	}
	counts[index] = count
	return counts
}

// RestoreLost adds a stored lost run to the evidence unless it is there already, and reports whether it did: earlier releases
// stored the runs of all tasks of a gang with the first one. The run counts as closed now.
func (evidence *Evidence) RestoreLost(stored Loss, now time.Time) bool {
	sameRun := func(other Loss) bool { return other.Number == stored.Number }
	if slices.ContainsFunc(evidence.Lost, sameRun) {
		return false
	}
	stored.ClosedAt = now
	evidence.Lost = append(evidence.Lost, stored)
	return true
}

// Valid reports whether all task indexes, counts and numbers of runs are from 0 to highest.
func (records *Records) Valid(highest int) bool {
	inRange := func(numbers ...int) bool { return slices.Min(numbers) >= 0 && slices.Max(numbers) <= highest }
	for _, counts := range []map[int]int{records.Crashes, records.Unanswered} {
		for index, crashes := range counts {
			if !inRange(index, crashes) {
				return false
			}
		}
	}
	return !slices.ContainsFunc(records.Lost, func(lost LostRun) bool { return !inRange(lost.Index, lost.Number) })
}
