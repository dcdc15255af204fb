package scheduler

import (
	"context"
	"errors"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/library/planner"
)

// gateway answers callers by asking the decider.
type gateway struct{ host *Host }

// Call is a caller's call, as a host hands it to the decider.
type Call struct {
	Queue string       `json:"queue"`
	ID    string       `json:"id,omitempty"`
	Job   *planner.Job `json:"job,omitempty"`
}

const (
	answerMargin   = 150 * time.Millisecond // of a caller's patience, for the answer's way back
	deciderPause   = 40 * time.Millisecond
	deciderWithin  = 800 * time.Millisecond // of one call
	electionWithin = 1800 * time.Millisecond
	comeBack       = time.Second
)

// Catalog returns the configuration in force.
func (gateway *gateway) Catalog() *planner.Catalog { return gateway.host.catalog.Load() }

// Submit hands a job in.
func (gateway *gateway) Submit(ctx context.Context, job planner.Job) planner.Reply {
	return gateway.call(ctx, methodSubmit, Call{Queue: job.Queue, ID: job.ID, Job: &job})
}

// State returns the state of a job.
func (gateway *gateway) State(ctx context.Context, queue, id string) planner.Reply {
	return gateway.call(ctx, methodState, Call{Queue: queue, ID: id})
}

// Cancel ends a job.
func (gateway *gateway) Cancel(ctx context.Context, queue, id string) planner.Reply {
	return gateway.call(ctx, methodCancel, Call{Queue: queue, ID: id})
}

// Pending returns how many jobs of a queue have not begun.
func (gateway *gateway) Pending(ctx context.Context, queue string) planner.Reply {
	return gateway.call(ctx, methodPending, Call{Queue: queue})
}

// call asks the decider, also the next one when it changes. A job's ID makes each call idempotent.
func (gateway *gateway) call(ctx context.Context, method string, call Call) planner.Reply {
	host := gateway.host
	patience := electionWithin
	if deadline, found := ctx.Deadline(); found {
		patience = min(patience, time.Until(deadline)-answerMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	sent, began := false, time.Now()
	for {
		election, changed := host.fleet.view()
		reply, err := gateway.callOnce(ctx, election, method, call)
		if err == nil {
			host.metrics.calls.WithLabelValues(method, reply.Verdict.String()).Observe(time.Since(began).Seconds())
			host.log.Info("call", "method", method, "job", call.ID, "queue", call.Queue, "verdict", reply.Verdict.String(), "state", reply.State, "reason", reply.Reason)
			return reply
		}
		sent = sent || !linker.ErrUnsent.Has(err)
		host.log.Info("decider does not answer", "method", method, "job", call.ID, "decider", election.Host, "error", err)
		pause(ctx, changed, deciderPause)
		if ctx.Err() != nil {
			reply := given(sent && (call.Job != nil || method == methodCancel))
			host.metrics.calls.WithLabelValues(method, reply.Verdict.String()).Observe(time.Since(began).Seconds())
			host.log.Warn("call given up", "method", method, "job", call.ID, "verdict", reply.Verdict.String(), "after", time.Since(began).String())
			return reply
		}
	}
}

// given returns the answer to a call that was given up.
func given(sent bool) planner.Reply {
	if sent {
		return planner.Reply{Verdict: planner.Unproven, Reason: "the decider did not answer", RetryAfter: comeBack}
	}
	return planner.Reply{Verdict: planner.Refused, Reason: "no decider can be reached", RetryAfter: comeBack}
}

// pause waits for a time, until something changes or until ctx is done.
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

func (gateway *gateway) callOnce(ctx context.Context, election Election, method string, call Call) (planner.Reply, error) {
	if tenure := gateway.host.present(); tenure != nil {
		return tenure.answer(ctx, method, call)
	}
	if election.Term == 0 || election.Boot == gateway.host.boot {
		return planner.Reply{}, linker.ErrUnsent.Wrap(errNoDecider)
	}
	ctx, cancel := context.WithTimeout(ctx, deciderWithin)
	defer cancel()
	var reply planner.Reply
	err := gateway.host.pool.Call(ctx, election.Address, method, call, &reply)
	if text, refused := linker.Refused(err); refused && text == errNotDeciding.Error() {
		return reply, linker.ErrUnsent.Wrap(err)
	}
	return reply, err
}
