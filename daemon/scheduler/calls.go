package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// The calls between hosts.
const (
	methodBeat     = "beat"
	methodCampaign = "campaign"
	methodQuestion = "question"
	methodRelay    = "relay"
	methodSubmit   = "submit"
	methodState    = "state"
	methodCancel   = "cancel"
	methodPending  = "pending"
)

// errNotDeciding says that a call changed nothing, because the host does not decide.
var errNotDeciding = errors.New("this host does not decide")

// handle answers a call of a peer.
func (host *Host) handle(ctx context.Context, _, method string, body json.RawMessage) (any, error) {
	switch method {
	case methodBeat:
		var beat Beat
		if err := json.Unmarshal(body, &beat); err != nil {
			return nil, fmt.Errorf("decode beat: %w", err)
		}
		return host.answerBeat(beat), nil
	case methodCampaign:
		var election Election
		if err := json.Unmarshal(body, &election); err != nil {
			return nil, fmt.Errorf("decode election: %w", err)
		}
		if host.leaving.Load() {
			return nil, Error.New("host %s is leaving", host.settings.Host)
		}
		host.relievedAt.Store(int64(host.uptime()))
		if err := host.campaign(ctx, election); err != nil {
			return nil, err
		}
		present, _ := host.fleet.view()
		return present, nil
	case methodQuestion:
		var question Question
		if err := json.Unmarshal(body, &question); err != nil {
			return nil, fmt.Errorf("decode question: %w", err)
		}
		return host.askPolicy(ctx, question)
	case methodRelay:
		var batch RelayedBatch
		if err := json.Unmarshal(body, &batch); err != nil {
			return nil, fmt.Errorf("decode relay: %w", err)
		}
		return host.relay(ctx, batch), nil
	}
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	tenure := host.present()
	if tenure == nil {
		return nil, errNotDeciding
	}
	return tenure.answer(ctx, method, call)
}

// answer answers a caller's call from the planner's tables, once they are there.
func (tenure *tenure) answer(ctx context.Context, method string, call Call) (planner.Reply, error) {
	select {
	case <-tenure.opened:
	case <-ctx.Done():
		return planner.Reply{}, linker.ErrUnsent.Wrap(ctx.Err())
	case <-tenure.ctx.Done():
		return planner.Reply{}, errNotDeciding
	}
	reply, err := tenure.serve(ctx, method, call)
	if err == nil && reply.Verdict == planner.Missing && !tenure.confirmed(ctx) {
		return planner.Reply{Verdict: planner.Refused, Reason: "it is not sure that this host decides", RetryAfter: comeBack}, nil
	}
	return reply, err
}

// confirmWithin bounds the question to the store whether this host still decides.
const confirmWithin = 400 * time.Millisecond

// confirmed asks the store whether this host still decides: a later decider may have accepted a job that
// the tables do not know.
func (tenure *tenure) confirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	entries, _, err := tenure.host.newest(ctx, translator.Fleet)
	if err != nil {
		tenure.host.log.Info("cannot confirm that this host decides", "term", tenure.term, "error", err)
		return false
	}
	for _, entry := range entries {
		tenure.host.learnFleet(entry)
	}
	return tenure.host.present() == tenure
}

// serve answers a call from the tables.
func (tenure *tenure) serve(ctx context.Context, method string, call Call) (planner.Reply, error) {
	switch method {
	case methodSubmit:
		return tenure.submit(ctx, call)
	case methodCancel:
		return tenure.cancelJob(ctx, call)
	case methodState:
		return tenure.state(call), nil
	case methodPending:
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		return planner.Reply{Pending: tenure.planner.Pending(call.Queue)}, nil
	}
	return planner.Reply{}, Error.New("unknown call %q", method)
}

// storePatience is how long the journal may fail before new jobs are refused at once.
const storePatience = 600 * time.Millisecond

func (tenure *tenure) submit(ctx context.Context, call Call) (planner.Reply, error) {
	if call.Job == nil {
		return planner.Reply{}, Error.New("submission without job")
	}
	tenure.mu.Lock()
	_, known := tenure.planner.State(call.ID)
	if !known {
		if reply, refused := tenure.refuse(call.Job); refused {
			tenure.mu.Unlock()
			return reply, nil
		}
		tenure.planner.Submit(*call.Job, time.Now())
	}
	if known && !tenure.planner.Unstored(call.ID) {
		tenure.mu.Unlock()
		return planner.Reply{}, nil
	}
	done := tenure.await(call.ID)
	tenure.mu.Unlock()
	tenure.kick()
	return tenure.settleNew(ctx, call.ID, done)
}

// settleNew waits until a new job is stored. One that was not given to the store yet is taken back when
// the store fails, so that the caller may try again at once.
func (tenure *tenure) settleNew(ctx context.Context, id string, done chan struct{}) (planner.Reply, error) {
	patience := time.NewTicker(storePatience / 4)
	defer patience.Stop()
	for {
		select {
		case <-done:
			return tenure.accepted(id), nil
		case <-patience.C:
			if tenure.storeQuiet() < storePatience || !tenure.withdraw(id) {
				continue
			}
			return storeRefusal(), nil
		case <-ctx.Done():
			if tenure.withdraw(id) {
				return storeRefusal(), nil
			}
			return planner.Reply{Verdict: planner.Unproven, Reason: "the store does not answer", RetryAfter: comeBack}, nil
		case <-tenure.ctx.Done():
			return planner.Reply{}, Error.New("another host decides by now")
		}
	}
}

// accepted answers for a job whose batch is stored, unless another call for it took it back before.
func (tenure *tenure) accepted(id string) planner.Reply {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if _, known := tenure.planner.State(id); !known {
		return storeRefusal()
	}
	return planner.Reply{}
}

func (tenure *tenure) withdraw(id string) bool {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.planner.Withdraw(id)
}

func storeRefusal() planner.Reply {
	return planner.Reply{Verdict: planner.Refused, Reason: "the store does not answer", RetryAfter: comeBack}
}

// refuse reports why a job is not taken now.
func (tenure *tenure) refuse(job *planner.Job) (planner.Reply, bool) {
	if tenure.storeQuiet() > storePatience {
		return storeRefusal(), true
	}
	if _, found := tenure.planner.Catalog().Queue(job.Queue); !found {
		return planner.Reply{Verdict: planner.Refused, Reason: "the queue is not in force here", RetryAfter: comeBack}, true
	}
	return planner.Reply{}, false
}

// await returns a channel that is closed once the present changes of a job are stored.
func (tenure *tenure) await(id string) chan struct{} {
	done := make(chan struct{})
	tenure.waiters = append(tenure.waiters, waiter{batch: tenure.planner.BatchOf(id), done: done})
	return done
}

// settle waits until a change is stored.
func (tenure *tenure) settle(ctx context.Context, done chan struct{}) (planner.Reply, error) {
	select {
	case <-done:
		return planner.Reply{}, nil
	case <-ctx.Done():
		return planner.Reply{Verdict: planner.Unproven, Reason: "the store does not answer", RetryAfter: comeBack}, nil
	case <-tenure.ctx.Done():
		return planner.Reply{}, Error.New("another host decides by now")
	}
}

func (tenure *tenure) cancelJob(ctx context.Context, call Call) (planner.Reply, error) {
	tenure.mu.Lock()
	if !tenure.planner.Cancel(call.ID, time.Now()) {
		tenure.mu.Unlock()
		return planner.Reply{Verdict: planner.Missing}, nil
	}
	if !tenure.planner.Unstored(call.ID) {
		tenure.mu.Unlock()
		return planner.Reply{}, nil
	}
	done := tenure.await(call.ID)
	tenure.mu.Unlock()
	tenure.kick()
	return tenure.settle(ctx, done)
}

func (tenure *tenure) state(call Call) planner.Reply {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	state, known := tenure.planner.State(call.ID)
	if !known || tenure.planner.QueueOf(call.ID) != call.Queue {
		return planner.Reply{Verdict: planner.Missing}
	}
	return planner.Reply{State: state}
}
