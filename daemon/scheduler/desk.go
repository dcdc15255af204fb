package scheduler

import (
	"context"
	"errors"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/library/planner"
)

// desk answers callers by asking the decider.
type desk struct{ host *Host }

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
func (desk *desk) Catalog() *planner.Catalog { return desk.host.catalog.Load() }

// Submit hands a job in.
func (desk *desk) Submit(ctx context.Context, job planner.Job) planner.Reply {
	return desk.call(ctx, methodSubmit, Call{Queue: job.Queue, ID: job.ID, Job: &job})
}

// State returns the state of a job.
func (desk *desk) State(ctx context.Context, queue, id string) planner.Reply {
	return desk.call(ctx, methodState, Call{Queue: queue, ID: id})
}

// Cancel ends a job.
func (desk *desk) Cancel(ctx context.Context, queue, id string) planner.Reply {
	return desk.call(ctx, methodCancel, Call{Queue: queue, ID: id})
}

// Pending returns how many jobs of a queue have not begun.
func (desk *desk) Pending(ctx context.Context, queue string) planner.Reply {
	return desk.call(ctx, methodPending, Call{Queue: queue})
}

// call asks the decider, also the next one when it changes. A job's ID makes each call idempotent.
func (desk *desk) call(ctx context.Context, method string, call Call) planner.Reply {
	host := desk.host
	patience := electionWithin
	if deadline, found := ctx.Deadline(); found {
		patience = min(patience, time.Until(deadline)-answerMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	sent, began := false, time.Now()
	for {
		office, changed := host.fleet.view()
		reply, err := desk.callOnce(ctx, office, method, call)
		if err == nil {
			host.metrics.calls.WithLabelValues(method, reply.Verdict.String()).Observe(time.Since(began).Seconds())
			host.log.Info("call", "method", method, "job", call.ID, "queue", call.Queue, "verdict", reply.Verdict.String(), "state", reply.State, "reason", reply.Reason)
			return reply
		}
		sent = sent || !linker.ErrUnsent.Has(err)
		host.log.Info("decider does not answer", "method", method, "job", call.ID, "decider", office.Host, "error", err)
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

func (desk *desk) callOnce(ctx context.Context, office Office, method string, call Call) (planner.Reply, error) {
	if tenure := desk.host.present(); tenure != nil {
		return tenure.answer(ctx, method, call)
	}
	if office.Term == 0 || office.Boot == desk.host.boot {
		return planner.Reply{}, linker.ErrUnsent.Wrap(errNoDecider)
	}
	ctx, cancel := context.WithTimeout(ctx, deciderWithin)
	defer cancel()
	var reply planner.Reply
	err := desk.host.pool.Call(ctx, office.Address, method, call, &reply)
	if text, refused := linker.Refused(err); refused && text == errNotDeciding.Error() {
		return reply, linker.ErrUnsent.Wrap(err)
	}
	return reply, err
}
