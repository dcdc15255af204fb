package scheduler

import (
	"context"
	"errors"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/library/planner"
	"github.com/google/uuid"
)

// gateway forwards callers' calls to the decider.
type gateway struct{ host *Host }

// Call is a caller's call as it is sent to the decider.
type Call struct {
	Queue string       `json:"queue"`
	ID    string       `json:"id,omitempty"`
	Job   *planner.Job `json:"job,omitempty"`
	// Submission identifies a submission over all repetitions of the call, empty from hosts of earlier releases.
	Submission string `json:"submission,omitempty"`
	// Caller is who makes the call, nil from hosts of earlier releases.
	Caller *planner.Caller `json:"caller,omitempty"`
}

const (
	// answerMargin is subtracted from a caller's deadline, to leave time to return the answer.
	answerMargin      = 150 * time.Millisecond
	deciderRetryDelay = 40 * time.Millisecond
	// deciderCallTimeout bounds one attempt to call the decider, beside linkAllowance: the decider calls the store over the same link
	// before it answers.
	deciderCallTimeout = 800 * time.Millisecond
	// maxCallTime bounds a call with all its attempts, including an election in between.
	maxCallTime = 1800 * time.Millisecond
	// callerRetryDelay is sent to callers along with a refusal or an uncertain outcome.
	callerRetryDelay = time.Second
)

// Catalog returns the configuration in force.
func (gateway *gateway) Catalog() *planner.Catalog { return gateway.host.catalog.Load() }

// Submit submits a job.
func (gateway *gateway) Submit(ctx context.Context, caller planner.Caller, job planner.Job) planner.Reply {
	return gateway.callDecider(ctx, methodSubmit, Call{Queue: job.Queue, ID: job.ID, Job: &job, Submission: uuid.NewString(), Caller: &caller})
}

// State returns the state of a job.
func (gateway *gateway) State(ctx context.Context, caller planner.Caller, queue, id string) planner.Reply {
	return gateway.callDecider(ctx, methodState, Call{Queue: queue, ID: id, Caller: &caller})
}

// Cancel cancels a job.
func (gateway *gateway) Cancel(ctx context.Context, caller planner.Caller, queue, id string) planner.Reply {
	return gateway.callDecider(ctx, methodCancel, Call{Queue: queue, ID: id, Caller: &caller})
}

// Pending returns the number of jobs of a queue that have not begun.
func (gateway *gateway) Pending(ctx context.Context, queue string) planner.Reply {
	return gateway.callDecider(ctx, methodPending, Call{Queue: queue})
}

// callDecider calls the decider. It retries until an answer or a time-out, also with another decider after an election:
// the ID of a job makes each call idempotent.
func (gateway *gateway) callDecider(ctx context.Context, method string, call Call) planner.Reply {
	host := gateway.host
	timeout := maxCallTime
	if deadline, found := ctx.Deadline(); found {
		timeout = min(timeout, time.Until(deadline)-answerMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent, startedAt := false, time.Now()
	for {
		election, changed := host.fleet.currentElection()
		reply, err := gateway.callDeciderOnce(ctx, election, changed, method, call)
		if err == nil {
			host.metrics.calls.WithLabelValues(method, reply.Verdict.String()).Observe(time.Since(startedAt).Seconds())
			host.log.Info("call", "method", method, "job", call.ID, "queue", call.Queue, "verdict", reply.Verdict.String(), "state", reply.State, "reason", reply.Reason)
			return reply
		}
		sent = sent || !linker.ErrUnsent.Has(err)
		if isBusy(err) && !sent {
			host.metrics.calls.WithLabelValues(method, planner.Refused.String()).Observe(time.Since(startedAt).Seconds())
			return planner.Reply{Verdict: planner.Refused, Reason: errBusy.Error() + ": retry after the given time", RetryAfter: callerRetryDelay}
		}
		host.log.Info("decider does not answer", "method", method, "job", call.ID, "decider", election.Host, "error", err)
		pause(ctx, changed, deciderRetryDelay)
		if ctx.Err() != nil {
			reply := timeoutReply(sent && (call.Job != nil || method == methodCancel))
			host.metrics.calls.WithLabelValues(method, reply.Verdict.String()).Observe(time.Since(startedAt).Seconds())
			host.log.Warn("call given up", "method", method, "job", call.ID, "verdict", reply.Verdict.String(), "after", time.Since(startedAt).String())
			return reply
		}
	}
}

// timeoutReply returns the reply to a call that the decider did not answer in time. sent reports whether the decider may
// have carried it out.
func timeoutReply(sent bool) planner.Reply {
	if sent {
		return planner.Reply{Verdict: planner.Unconfirmed, Reason: "the decider did not answer", RetryAfter: callerRetryDelay}
	}
	return planner.Reply{Verdict: planner.Refused, Reason: "cannot reach a decider", RetryAfter: callerRetryDelay}
}

// pause waits until the given time has passed, changed is closed or ctx is done.
func pause(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

var errNoDecider = errors.New("no decider is known")

// cancelOnChange ends an attempt to call a decider when a later election is known, until ctx is done.
func cancelOnChange(ctx context.Context, cancel context.CancelFunc, changed <-chan struct{}) {
	select {
	case <-changed:
		cancel()
	case <-ctx.Done():
	}
}

// callDeciderOnce makes one attempt to call the decider of an election, which ends early when changed is closed.
func (gateway *gateway) callDeciderOnce(ctx context.Context, election Election, changed <-chan struct{}, method string, call Call) (planner.Reply, error) {
	if tenure := gateway.host.currentTenure(); tenure != nil {
		return tenure.answerCall(ctx, method, call)
	}
	if election.Term == 0 || election.BootID == gateway.host.bootID {
		return planner.Reply{}, linker.ErrUnsent.Wrap(errNoDecider)
	}
	ctx, cancel := context.WithTimeout(ctx, deciderCallTimeout+gateway.host.linkAllowance())
	defer cancel()
	go cancelOnChange(ctx, cancel, changed)
	var reply planner.Reply
	err := gateway.host.hedgedCaller.call(ctx, election.Address, method, call, &reply, 0)
	if text, refused := linker.RemoteError(err); refused && text == errNotDeciding.Error() {
		return reply, linker.ErrUnsent.Wrap(err)
	}
	return reply, err
}
