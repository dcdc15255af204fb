package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/decider"
)

// claimSchedule holds when one worker is claimed next and when it last confirmed a claim.
type claimSchedule struct {
	dueAt           time.Time
	confirmedSentAt time.Time // when the last claim that the worker confirmed was sent, not when it was answered
	inFlight        bool
}

// expediteClaim makes the next claim of a worker due now. The caller holds tenure.mu.
func (tenure *tenure) expediteClaim(worker string) {
	if schedule := tenure.claims[worker]; schedule != nil {
		schedule.dueAt = time.Time{}
	}
}

// claimAll claims all workers in parallel and waits for the answers.
func (tenure *tenure) claimAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, worker := range tenure.workerRows() {
		wait.Go(func() { tenure.claim(ctx, worker.Name) })
	}
	wait.Wait()
}

// sendDueClaims starts the claims that are due. A worker has at most one claim in flight.
func (tenure *tenure) sendDueClaims(ctx context.Context) {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for name, schedule := range tenure.claims {
		if schedule.inFlight || now.Before(schedule.dueAt) {
			continue
		}
		schedule.inFlight = true
		tenure.goroutines.Go(func() {
			tenure.claim(ctx, name)
			tenure.scheduleNextClaim(name)
		})
	}
}

// scheduleNextClaim sets when a worker is claimed next: at the next end of a task that is expected there, no
// sooner than minClaimInterval, and no later than claimInterval, which renews the leases in time.
func (tenure *tenure) scheduleNextClaim(name string) {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	schedule := tenure.claims[name]
	if schedule == nil {
		return
	}
	schedule.inFlight = false
	schedule.dueAt = now.Add(claimInterval)
	next, found := tenure.decider.NextPollTime(name, now)
	if found {
		schedule.dueAt = now.Add(min(claimInterval, max(minClaimInterval, next.Sub(now))))
	}
}

// claim claims one worker for this term and passes the worker's report of its changes to the decider.
func (tenure *tenure) claim(ctx context.Context, name string) {
	sentAt := time.Now()
	tenure.mu.Lock()
	next, found := tenure.decider.NextClaim(name, sentAt)
	tenure.mu.Unlock()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := starter.Claim{Term: tenure.term, Since: next.Since, Boot: next.Boot, LeaseEnd: next.LeaseEnd, Forget: next.Forget}
	report, err := tenure.server.workerClient.Claim(ctx, next.Address, claim)
	if starter.ErrFenced.Has(err) {
		tenure.server.peers.ObserveTerm(tenure.zone, report.Term)
		return
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			tenure.server.log.Debug("claim of worker failed", "worker", name, "error", err)
		}
		return
	}
	if report.Worker != name {
		tenure.server.log.Warn("another worker answers at this address: check the host list", "worker", name, "found", report.Worker)
		return
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.decider.ApplyReport(name, convertReport(report), time.Now())
	if schedule := tenure.claims[name]; schedule != nil && report.Term == tenure.term {
		schedule.confirmedSentAt = sentAt
	}
	tenure.requestTick()
}

// convertReport converts a worker's report to the decider's types.
func convertReport(report starter.Report) decider.Report {
	converted := decider.Report{
		Boot:     report.Boot,
		Clock:    report.Clock,
		Term:     report.Term,
		Sequence: report.Sequence,
	}
	for _, task := range report.Tasks {
		converted.Tasks = append(converted.Tasks, decider.TaskReport{
			ID:         task.ID,
			Label:      task.Label,
			Size:       task.Size,
			Running:    task.State == starter.Running,
			Ending:     endingByState[task.State],
			Status:     task.Status,
			Checkpoint: task.Checkpoint,
		})
	}
	return converted
}

var endingByState = map[starter.TaskState]decider.Ending{
	starter.Done:    decider.Completed,
	starter.Failed:  decider.Failed,
	starter.Stopped: decider.Stopped,
}
