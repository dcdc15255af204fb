package blamer

import "time"

const (
	failuresToBar  = 3                      // failed jobs without a success in between that bar a worker
	minBarTime     = 2 * time.Second        // duration of the first bar for failures; each further one lasts twice as long
	maxBarTime     = 16 * time.Second       // maximum duration of a bar for failures
	refusalBarTime = 200 * time.Millisecond // duration of a bar for a refused order
)

// Bar keeps new runs off a worker for a time, as derived from the outcomes of its runs and orders. The zero value is that of a
// worker without outcomes.
type Bar struct {
	failedJobs map[string]bool // IDs of the jobs with failed runs since the last success
	until      time.Time
	time       time.Duration // duration of the last bar for failures, 0 after a success
}

// Usable reports whether the worker is not barred.
func (bar *Bar) Usable(now time.Time) bool { return !now.Before(bar.until) }

// RecordFailure records a failed run of a job, and bars the worker once failuresToBar different jobs have failed on it
// without a success.
func (bar *Bar) RecordFailure(job string, now time.Time) {
	if bar.failedJobs == nil {
		bar.failedJobs = map[string]bool{}
	}
	bar.failedJobs[job] = true
	if len(bar.failedJobs) < failuresToBar {
		return
	}
	bar.time = min(max(2*bar.time, minBarTime), maxBarTime)
	bar.until = now.Add(bar.time)
	clear(bar.failedJobs)
	bar.failedJobs[job] = true
}

// RecordRefusal bars the worker for refusalBarTime because it did not accept an order.
func (bar *Bar) RecordRefusal(now time.Time) {
	if until := now.Add(refusalBarTime); until.After(bar.until) {
		bar.until = until
	}
}

// RecordSuccess resets the counts of failures and the duration of the next bar.
func (bar *Bar) RecordSuccess() {
	clear(bar.failedJobs)
	bar.time = 0
}
