package planner

import (
	"slices"
	"time"
)

const (
	// maxJournalMS bounds the journal's clock to 100 years, so that the difference of two of its times is a duration.
	maxJournalMS = 100 * 365 * 24 * 60 * 60 * 1000
	// maxExpiryMS bounds the rest of a lease to a day.
	maxExpiryMS = 24 * 60 * 60 * 1000
	// maxStoredNumber bounds numbers of runs and counts.
	maxStoredNumber = 1_000_000_000_000_000
)

// check returns an error if a value is out of range: another writer may have stored the record.
func (progress *Progress) check() error {
	switch {
	case progress.State != Queued && progress.State != Running && !progress.State.Final():
		return Error.New("progress record has the unknown state %.40q", progress.State)
	case progress.StoredAtMS < 0 || progress.StoredAtMS > maxJournalMS:
		return Error.New("progress record was stored at %d ms, which is not from 0 to %d", progress.StoredAtMS, maxJournalMS)
	case !validNumbers(progress.Next, progress.Ended):
		return Error.New("progress record has occurrences %d and %d", progress.Next, progress.Ended)
	}
	for _, occurrence := range progress.Occurrences {
		if !validNumbers(occurrence.Number) || slices.ContainsFunc(occurrence.Steps, StepProgress.invalid) {
			return Error.New("progress record has an index, a run or a count out of range in occurrence %d", occurrence.Number)
		}
	}
	return nil
}

// invalid reports whether an index, the number of a run, or a count is out of range.
func (stepProgress StepProgress) invalid() bool {
	return !stepProgress.Valid(maxStoredNumber) || !validNumbers(stepProgress.Numbers...) || !validNumbers(stepProgress.Failures...) ||
		slices.ContainsFunc(stepProgress.Open, func(open OpenRun) bool { return !validNumbers(open.Index, open.Number) })
}

// validNumbers reports whether all numbers are from 0 to maxStoredNumber.
func validNumbers(numbers ...int) bool {
	return !slices.ContainsFunc(numbers, func(number int) bool { return number < 0 || number > maxStoredNumber })
}

// journalDuration returns the time between two readings of the journal's clock. A client may ask for an occurrence that was due
// before any clock of this program began: the second one counts as within maxJournalMS of 0.
func journalDuration(fromMS, toMS int64) time.Duration {
	toMS = min(max(toMS, -maxJournalMS), maxJournalMS)
	return time.Duration(toMS-fromMS) * time.Millisecond
}
