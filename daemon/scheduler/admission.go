package scheduler

import (
	"context"
	"time"

	"ebonyshunt.org/library/planner"
)

const (
	// maxRefusalLines limits the log lines of refusals per refusalLogInterval: in an overload there are thousands.
	maxRefusalLines    = 10
	refusalLogInterval = time.Second
	// confirmWait is how long a refusal waits for a batch to be stored, which confirms the term, before it reads the store.
	confirmWait = 100 * time.Millisecond
)

// refusalLog limits the log lines of refusals. It is guarded by tenure.mu.
type refusalLog struct {
	since      time.Time
	lines      int
	suppressed int // number of refusals without a line since the last line
}

// refusalTexts are the reasons that callers read.
var refusalTexts = map[planner.RefusalCause]string{
	planner.RefusedPoolBusy:   "the job would complete too late to be of use: retry after the given time",
	planner.RefusedTeamCapped: "the cap of the team would delay the job until it is of no use: retry after the given time",
	planner.RefusedTooLarge:   "a task is larger than every worker of the service: submit smaller tasks",
	planner.RefusedLabel:      "no worker of the service has the required label: submit the job without it, or retry once there is one",
	planner.RefusedAboveCap:   "a task or a gang is larger than the cap of the team: submit a smaller one, or ask the operators to raise the cap",
}

// refuse answers a job that the planner refuses. The caller is told that the job never runs, so the refusal is sent only once it
// is certain that no later decider has accepted the job.
func (tenure *tenure) refuse(ctx context.Context, call Call, refusal planner.Refusal) (planner.Reply, error) {
	refusedAt := tenure.host.uptime()
	if !tenure.confirmedSince(ctx, refusedAt) {
		if tenure.ctx.Err() != nil {
			return planner.Reply{}, errNotDeciding
		}
		return planner.Reply{Verdict: planner.Unconfirmed, Reason: "cannot confirm that this host is still the decider", RetryAfter: callerRetryDelay}, nil
	}
	tenure.mu.Lock()
	if _, known := tenure.planner.State(call.ID); known { // another call with the same ID was accepted meanwhile
		done := tenure.notifyOnStored(call.ID)
		tenure.mu.Unlock()
		tenure.requestPlan()
		return tenure.awaitNewJob(ctx, call.ID, done)
	}
	tenure.logRefusal(call, refusal)
	tenure.mu.Unlock()
	tenure.host.metrics.refusals.WithLabelValues(string(refusal.Cause)).Inc()
	return planner.Reply{Verdict: planner.Refused, Reason: refusalTexts[refusal.Cause], RetryAfter: refusal.RetryAfter}, nil
}

// confirmedSince waits until a store call that was sent after an uptime shows that there is no later decider.
func (tenure *tenure) confirmedSince(ctx context.Context, since time.Duration) bool {
	timer := time.NewTimer(confirmWait)
	defer timer.Stop()
	for {
		tenure.mu.Lock()
		stored := tenure.stored
		tenure.mu.Unlock()
		if time.Duration(tenure.confirmedAt.Load()) >= since {
			return true
		}
		select {
		case <-stored:
		case <-timer.C:
			return tenure.readConfirmation(ctx, since)
		case <-ctx.Done():
			return false
		case <-tenure.ctx.Done():
			return false
		}
	}
}

// readConfirmation reads from the store whether there is a later decider. One read at a time serves all refusals that began
// before it.
func (tenure *tenure) readConfirmation(ctx context.Context, since time.Duration) bool {
	select {
	case tenure.confirming <- struct{}{}:
		defer func() { <-tenure.confirming }()
	case <-ctx.Done():
		return false
	}
	if time.Duration(tenure.confirmedAt.Load()) >= since {
		return true
	}
	sentAt := tenure.host.uptime()
	if !tenure.stillDecides(ctx) {
		return false
	}
	tenure.confirmTerm(sentAt)
	return true
}

// logRefusal logs a refusal with its inputs, at most maxRefusalLines per refusalLogInterval.
func (tenure *tenure) logRefusal(call Call, refusal planner.Refusal) {
	log := &tenure.refusalLog
	if now := time.Now(); now.Sub(log.since) >= refusalLogInterval {
		log.since, log.lines = now, 0
	}
	if log.lines >= maxRefusalLines {
		log.suppressed++
		return
	}
	log.lines++
	verdict, backlog := &refusal.Verdict, &refusal.Backlog
	tenure.host.log.Info("job refused", "job", call.ID, "queue", call.Queue, "team", call.Job.Team, "reason", refusal.Cause,
		"retryAfter", refusal.RetryAfter.String(), "start", verdict.Start.String(), "completion", verdict.Completion.String(),
		"completionLimit", verdict.Limit.String(), "backlogAge", refusal.BacklogAge.String(), "rate", backlog.Rate, "offered", backlog.Offered,
		"inflow", backlog.Inflow, "share", backlog.Share, "runningSeconds", backlog.Running.Seconds(backlog.Capacity),
		"aboveSeconds", backlog.Above.Seconds(backlog.Capacity), "peersSeconds", backlog.Peers.Seconds(backlog.Capacity),
		"ownSeconds", backlog.Own.Seconds(backlog.Capacity), "teamAheadSeconds", backlog.TeamAhead.Seconds(backlog.Cap), "unloggedBefore", log.suppressed)
	log.suppressed = 0
}
