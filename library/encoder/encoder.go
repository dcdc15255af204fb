// Package encoder defines the records of the planner's journal: what they hold, and which values they are refused for when they are decoded.
// Another writer may have stored them.
package encoder

import (
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("journal record")

const (
	// MaxJournalMS bounds the journal's clock to 100 years, so that the difference of two of its times is a duration.
	MaxJournalMS = 100 * 365 * 24 * 60 * 60 * 1000
	// maxExpiryMS bounds the rest of a lease to a day.
	maxExpiryMS = 24 * 60 * 60 * 1000
	// maxNumber bounds numbers of runs and counts.
	maxNumber = 1_000_000_000_000_000
)

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Canceled  State = "canceled"
)

// Final reports whether a job in this state has ended.
func (state State) Final() bool {
	return state == Completed || state == Failed || state == Canceled
}

// validNumbers reports whether all numbers are from 0 to maxNumber.
func validNumbers(numbers ...int) bool {
	return !slices.ContainsFunc(numbers, func(number int) bool { return number < 0 || number > maxNumber })
}

// validCounts reports whether all task indexes and counts are from 0 to maxNumber.
func validCounts(counts map[int]int) bool {
	for index, count := range counts {
		if !validNumbers(index, count) {
			return false
		}
	}
	return true
}
