package decider

import "time"

// Health tells whether a worker fails what it is given.
//
// Failures count by distinct work, and a work that fails on several workers is blamed itself, so that
// one bad job does not take out the workers.
type Health struct {
	failed  map[string]bool // works that failed since the last success
	until   time.Time       // quarantined until then
	backoff time.Duration
	probing bool // one task at a time after a quarantine
	busy    bool // the probing task is out
}

const (
	failuresToQuarantine = 3
	workersToBlame       = 3
	firstQuarantine      = 5 * time.Second
	longestQuarantine    = 5 * time.Minute
)

func (health *Health) usable(now time.Time) bool {
	if now.Before(health.until) {
		return false
	}
	return !health.probing || !health.busy
}

func (health *Health) fail(work string, now time.Time) {
	if health.failed == nil {
		health.failed = map[string]bool{}
	}
	health.failed[work] = true
	health.busy = false
	if health.probing || len(health.failed) >= failuresToQuarantine {
		health.quarantine(now)
	}
}

func (health *Health) quarantine(now time.Time) {
	health.backoff = min(max(firstQuarantine, 2*health.backoff), longestQuarantine)
	health.until = now.Add(health.backoff)
	health.probing = true
}

func (health *Health) succeed() {
	*health = Health{}
}

// pardon takes back a failure that turned out to be the work's own.
func (health *Health) pardon(work string) {
	if !health.failed[work] {
		return
	}
	delete(health.failed, work)
	if len(health.failed) < failuresToQuarantine {
		health.until = time.Time{}
		health.probing = false
		health.backoff = 0
	}
}
