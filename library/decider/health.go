package decider

import "time"

// Health is the circuit breaker of a worker: it quarantines a worker whose tasks keep failing.
//
// Each work item counts as one failure, and a work item that fails on several workers is taken to be at fault
// itself, so that a single bad job does not quarantine healthy workers. After a quarantine the worker runs one
// probe task at a time until one completes. A failed probe starts a quarantine of twice the length.
type Health struct {
	failedWork       map[string]bool // IDs of the work items that failed since the last success
	quarantinedUntil time.Time
	backoff          time.Duration // length of the last quarantine
	probing          bool          // limited to one task at a time, since a quarantine
	probeRunning     bool          // the one task is granted or running
}

const (
	failuresToQuarantine = 3 // failed work items after which a worker is quarantined
	minFailedWorkers     = 3 // workers on which a work item fails before it is taken to be at fault itself
	initialQuarantine    = 5 * time.Second
	maxQuarantine        = 5 * time.Minute
)

// usable reports whether the worker may get a task: it is not quarantined and no probe is running.
func (health *Health) usable(now time.Time) bool {
	if now.Before(health.quarantinedUntil) {
		return false
	}
	return !health.probing || !health.probeRunning
}

// recordFailure counts a failed work item and starts a quarantine after a failed probe or too many failures.
func (health *Health) recordFailure(work string, now time.Time) {
	if health.failedWork == nil {
		health.failedWork = map[string]bool{}
	}
	health.failedWork[work] = true
	health.probeRunning = false
	if health.probing || len(health.failedWork) >= failuresToQuarantine {
		health.startQuarantine(now)
	}
}

// startQuarantine quarantines the worker, for twice as long as the last time, up to maxQuarantine.
func (health *Health) startQuarantine(now time.Time) {
	health.backoff = min(max(initialQuarantine, 2*health.backoff), maxQuarantine)
	health.quarantinedUntil = now.Add(health.backoff)
	health.probing = true
}

// recordSuccess clears all failures and ends the probing.
func (health *Health) recordSuccess() {
	*health = Health{}
}

// retractFailure removes the failure of a work item that is at fault itself, and ends the quarantine if too few
// failures remain.
func (health *Health) retractFailure(work string) {
	if !health.failedWork[work] {
		return
	}
	delete(health.failedWork, work)
	if len(health.failedWork) < failuresToQuarantine {
		health.quarantinedUntil = time.Time{}
		health.probing = false
		health.backoff = 0
	}
}
