package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/decider"
)

// claimCall paces the claims of one worker.
type claimCall struct {
	due    time.Time
	owned  time.Time // when the last claim that the worker confirmed was sent
	flying bool
}

// probe makes the worker's next claim due now; the caller holds the lock.
func (tenure *tenure) probe(worker string) {
	if call := tenure.calls[worker]; call != nil {
		call.due = time.Time{}
	}
}

// claimAll claims every worker once and waits for the answers.
func (tenure *tenure) claimAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, worker := range tenure.rows() {
		wait.Go(func() { tenure.claim(ctx, worker.Name) })
	}
	wait.Wait()
}

// claimDue renews the claims that are due.
func (tenure *tenure) claimDue(ctx context.Context) {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for name, call := range tenure.calls {
		if call.flying || now.Before(call.due) {
			continue
		}
		call.flying = true
		tenure.wait.Go(func() {
			tenure.claim(ctx, name)
			tenure.reschedule(name)
		})
	}
}

// reschedule sets when a worker is asked next: soon where an end is expected there, else at the pace
// that keeps its leases.
func (tenure *tenure) reschedule(name string) {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	call := tenure.calls[name]
	if call == nil {
		return
	}
	call.flying = false
	call.due = now.Add(claimEvery)
	next, found := tenure.decider.NextEnd(name, now)
	if found {
		call.due = now.Add(min(claimEvery, max(soonestClaim, next.Sub(now))))
	}
}

// claim asks one worker for ownership and its changes, and takes in its report.
func (tenure *tenure) claim(ctx context.Context, name string) {
	sent := time.Now()
	tenure.mu.Lock()
	next, found := tenure.decider.NextClaim(name, sent)
	tenure.mu.Unlock()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := starter.Claim{Term: tenure.term, Since: next.Since, Boot: next.Boot, Lease: next.Lease, Forget: next.Forget}
	report, err := tenure.server.workers.Claim(ctx, next.Address, claim)
	if starter.ErrFenced.Has(err) {
		tenure.server.peers.See(tenure.zone, report.Term)
		return
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			tenure.server.log.Debug("worker not claimed", "worker", name, "error", err)
		}
		return
	}
	if report.Worker != name {
		tenure.server.log.Warn("another worker answers under the address", "worker", name, "found", report.Worker)
		return
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.decider.Reported(name, convert(report), time.Now())
	if call := tenure.calls[name]; call != nil && report.Term == tenure.term {
		call.owned = sent
	}
	tenure.poke()
}

// convert translates a worker's report into the decider's words.
func convert(report starter.Report) decider.Report {
	converted := decider.Report{
		Boot:     report.Boot,
		Clock:    report.Clock,
		Term:     report.Term,
		Sequence: report.Sequence,
		Whole:    report.Whole,
	}
	for _, task := range report.Tasks {
		converted.Tasks = append(converted.Tasks, decider.Reported{
			ID:         task.ID,
			Label:      task.Label,
			Size:       task.Size,
			Running:    task.State == starter.Running,
			Ending:     endings[task.State],
			Status:     task.Status,
			Checkpoint: task.Checkpoint,
		})
	}
	return converted
}

var endings = map[starter.TaskState]decider.Ending{
	starter.Done:    decider.Completed,
	starter.Failed:  decider.Failed,
	starter.Stopped: decider.Stopped,
}
