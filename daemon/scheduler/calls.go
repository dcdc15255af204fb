package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/receiver"
	"ebonyshunt.org/platform/translator"
)

// Methods of the calls between hosts.
const (
	methodHeartbeat   = "beat"
	methodCampaign    = "campaign"
	methodCatalog     = "catalog"
	methodPolicyQuery = "question"
	methodRelay       = "relay"
	methodDelegate    = "delegate"
	methodCollect     = "collect"
	methodSubmit      = "submit"
	methodState       = "state"
	methodCancel      = "cancel"
	methodPending     = "pending"
)

// errNotDeciding reports that a call changed nothing because this host is not the decider. Peers compare its text.
var errNotDeciding = errors.New("this host does not decide")

// errBusy reports that a call changed nothing because the decider has no memory for it now. Peers compare its text.
var errBusy = errors.New("the deciding host serves as many calls as its memory allows")

// handlePeerCall answers a call from a peer.
func (host *Host) handlePeerCall(ctx context.Context, _, method string, body json.RawMessage) (any, error) {
	switch method {
	case methodHeartbeat:
		return decodeAndHandle(body, func(heartbeat Heartbeat) (any, error) { return host.answerHeartbeat(heartbeat), nil })
	case methodCampaign:
		return decodeAndHandle(body, func(election Election) (any, error) { return host.campaignFor(ctx, election) })
	case methodCatalog:
		return decodeAndHandle(body, func(request CatalogRequest) (any, error) { return host.catalogFetcher.answer(request) })
	case methodPolicyQuery:
		return decodeAndHandle(body, func(query PolicyQuery) (any, error) { return host.queryPolicy(ctx, query) })
	case methodRelay:
		return decodeAndHandle(body, func(batch RelayedBatch) (any, error) { return host.relay(ctx, batch), nil })
	case methodDelegate:
		return decodeAndHandle(body, func(calls DelegatedCalls) (any, error) { return host.makeDelegatedCalls(calls) })
	case methodCollect:
		return decodeAndHandle(body, func(call CollectCall) (any, error) { return host.collectResults(ctx, call), nil })
	}
	claim, err := host.requestBudget.Claim(int64(len(body))*receiver.CostPerByte, func() {})
	if err != nil {
		host.recordLimit(peerListener, string(translator.RequestMemory))
		return nil, errBusy
	}
	defer claim.Release()
	if err := claim.Arrived(); err != nil {
		return nil, errBusy
	}
	return decodeAndHandle(body, func(call Call) (any, error) {
		tenure := host.currentTenure()
		if tenure == nil {
			return nil, errNotDeciding
		}
		return tenure.answerCall(ctx, method, call)
	})
}

// decodeAndHandle decodes the body of a call and passes it to a handler.
func decodeAndHandle[Body any](body json.RawMessage, handle func(Body) (any, error)) (any, error) {
	var decoded Body
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	return handle(decoded)
}

// campaignFor tries to become the decider at the request of a peer, and returns the latest election.
func (host *Host) campaignFor(ctx context.Context, after Election) (Election, error) {
	if host.shuttingDown.Load() {
		return Election{}, Error.New("host %s is shutting down", host.settings.Host)
	}
	host.slowTransferAt.Store(int64(host.uptime()))
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout) // a campaign keeps this host from others
	defer cancel()
	if err := host.campaign(ctx, after); err != nil {
		return Election{}, err
	}
	current, _ := host.fleet.currentElection()
	return current.withoutFormer(), nil
}

// answerCall answers a caller's call once the planner is restored.
func (tenure *tenure) answerCall(ctx context.Context, method string, call Call) (planner.Reply, error) {
	select {
	case <-tenure.ready:
	case <-ctx.Done():
		return planner.Reply{}, linker.ErrUnsent.Wrap(ctx.Err())
	case <-tenure.ctx.Done():
		return planner.Reply{}, errNotDeciding
	}
	reply, err := tenure.serveCall(ctx, method, call)
	if err == nil && reply.Verdict == planner.Missing && !tenure.stillDecides(ctx) {
		return planner.Reply{Verdict: planner.Refused, Reason: "cannot confirm that this host is still the decider", RetryAfter: callerRetryDelay}, nil
	}
	return reply, err
}

// confirmTimeout bounds the store read in stillDecides.
const confirmTimeout = 400 * time.Millisecond

// stillDecides reads from the store whether this host is still the decider. If it is not, a later decider may have
// accepted a job that is missing in this host's planner.
func (tenure *tenure) stillDecides(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	entries, end, err := tenure.host.readNewest(ctx, translator.Fleet)
	if err != nil {
		tenure.host.log.Info("cannot confirm that this host is still the decider", "term", tenure.term, "error", err)
		return false
	}
	for _, entry := range entries {
		tenure.host.applyFleetEntry(entry, end)
	}
	return tenure.host.currentTenure() == tenure
}

// serveCall answers a call from the planner's tables.
func (tenure *tenure) serveCall(ctx context.Context, method string, call Call) (planner.Reply, error) {
	switch method {
	case methodSubmit:
		return tenure.submissions.answer(ctx, call.Submission, func() (planner.Reply, error) { return tenure.submit(ctx, call) })
	case methodCancel:
		return tenure.cancelJob(ctx, call)
	case methodState:
		return tenure.jobState(call), nil
	case methodPending:
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		return planner.Reply{Pending: tenure.planner.Pending(call.Queue)}, nil
	}
	return planner.Reply{}, Error.New("unknown method %q", method)
}

// journalOutageTolerance is how long appends to the journal may fail before new jobs are refused immediately.
const journalOutageTolerance = 600 * time.Millisecond

func (tenure *tenure) submit(ctx context.Context, call Call) (planner.Reply, error) {
	if call.Job == nil {
		return planner.Reply{}, Error.New("submit call without job")
	}
	tenure.mu.Lock()
	_, known := tenure.planner.State(call.ID)
	if known && !tenure.owns(methodSubmit, call) {
		tenure.mu.Unlock()
		return planner.Reply{Verdict: planner.Refused, Conflict: true, Reason: "the ID is taken by another job: submit the job with another ID"}, nil
	}
	if !known {
		if reply, refused := tenure.refuseSubmission(call.Job); refused {
			tenure.mu.Unlock()
			return reply, nil
		}
		if refusal, refused := tenure.planner.Admit(call.Job, time.Now()); refused {
			tenure.mu.Unlock()
			return tenure.refuse(ctx, call, refusal)
		}
		tenure.planner.Submit(*call.Job, time.Now())
	}
	if known && !tenure.planner.HasUnstoredChanges(call.ID) {
		tenure.mu.Unlock()
		return planner.Reply{}, nil
	}
	done := tenure.notifyOnStored(call.ID)
	tenure.mu.Unlock()
	tenure.requestPlan()
	return tenure.awaitNewJob(ctx, call.ID, done)
}

// awaitNewJob waits until a new job is stored. If the store fails and the job is not part of a batch yet, the job
// is withdrawn, so that the caller can retry immediately.
func (tenure *tenure) awaitNewJob(ctx context.Context, id string, done chan struct{}) (planner.Reply, error) {
	ticker := time.NewTicker(journalOutageTolerance / 4)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return tenure.submitReply(id), nil
		case <-ticker.C:
			if tenure.storeOutage() < journalOutageTolerance || !tenure.withdraw(id) {
				continue
			}
			return storeRefusal(), nil
		case <-ctx.Done():
			if tenure.withdraw(id) {
				return storeRefusal(), nil
			}
			return planner.Reply{Verdict: planner.Unconfirmed, Reason: "the store does not answer", RetryAfter: callerRetryDelay}, nil
		case <-tenure.ctx.Done():
			return planner.Reply{}, Error.New("another host decides by now")
		}
	}
}

// submitReply returns the reply for a job whose batch is stored. The reply is a refusal if another call for the job has
// withdrawn it.
func (tenure *tenure) submitReply(id string) planner.Reply {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if _, known := tenure.planner.State(id); !known {
		return storeRefusal()
	}
	if tenure.planner.Unstorable(id) {
		return planner.Reply{Verdict: planner.Refused, Reason: "the store does not take the job: submit a smaller one", RetryAfter: unstorableRetryDelay}
	}
	return planner.Reply{}
}

func (tenure *tenure) withdraw(id string) bool {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.planner.Withdraw(id)
}

// unstorableRetryDelay is sent to callers whose job the store does not take.
const unstorableRetryDelay = time.Minute

func storeRefusal() planner.Reply {
	return planner.Reply{Verdict: planner.Refused, Reason: "the store does not answer", RetryAfter: callerRetryDelay}
}

// drainedRetryDelay is sent to callers whose job could start in drained zones only. Operators withdraw such a request within
// seconds at the earliest.
const drainedRetryDelay = 5 * time.Second

// fullRetryDelay is sent to callers while the memory is full of tasks, which takes until jobs have ended.
const fullRetryDelay = 5 * time.Second

// refuseSubmission returns a refusal and true if a job cannot be accepted now.
func (tenure *tenure) refuseSubmission(job *planner.Job) (planner.Reply, bool) {
	if tenure.storeOutage() > journalOutageTolerance {
		return storeRefusal(), true
	}
	queue, found := tenure.planner.Catalog().Queue(job.Queue)
	if !found {
		return planner.Reply{Verdict: planner.Refused, Reason: "the queue is not in the configuration of this host", RetryAfter: callerRetryDelay}, true
	}
	if !tenure.planner.HasRoomFor(job) {
		return planner.Reply{Verdict: planner.Refused, Reason: "the accepted jobs have as many tasks as the host's memory allows: retry after the given time", RetryAfter: fullRetryDelay}, true
	}
	if !tenure.planner.HasMemoryFor(job) {
		tenure.host.recordLimit(httpListener, jobMemoryLimit)
		return planner.Reply{Verdict: planner.Refused, Reason: "the accepted jobs take the memory that the host has for them: retry after the given time", RetryAfter: fullRetryDelay}, true
	}
	if tenure.planner.JobDrained(job, queue.Service) {
		return planner.Reply{Verdict: planner.Refused, Reason: "all workers for the job are in zones that operators have drained: retry after the given time", RetryAfter: drainedRetryDelay}, true
	}
	return planner.Reply{}, false
}

// notifyOnStored returns a channel that is closed once the changes of a job made so far are stored.
func (tenure *tenure) notifyOnStored(id string) chan struct{} {
	done := make(chan struct{})
	tenure.waiters = append(tenure.waiters, waiter{batch: tenure.planner.BatchOf(id), done: done})
	return done
}

// awaitChange waits until done is closed because a change is stored.
func (tenure *tenure) awaitChange(ctx context.Context, done chan struct{}) (planner.Reply, error) {
	select {
	case <-done:
		return planner.Reply{}, nil
	case <-ctx.Done():
		return planner.Reply{Verdict: planner.Unconfirmed, Reason: "the store does not answer", RetryAfter: callerRetryDelay}, nil
	case <-tenure.ctx.Done():
		return planner.Reply{}, Error.New("another host decides by now")
	}
}

// owns reports whether the job of a call is one of the call's queue and open to the caller. What a caller gets for any other job is the
// same as for an ID that nobody has; the log tells them apart. The caller holds tenure.mu.
func (tenure *tenure) owns(method string, call Call) bool {
	if tenure.planner.Owns(call.Caller, call.Queue, call.ID) {
		return true
	}
	if _, known := tenure.planner.State(call.ID); known {
		tenure.host.metrics.foreignCalls.WithLabelValues(method).Inc()
		tenure.host.log.Info("call for a job of another customer or queue", "method", method, "job", call.ID, "queue", call.Queue)
	}
	return false
}

func (tenure *tenure) cancelJob(ctx context.Context, call Call) (planner.Reply, error) {
	tenure.mu.Lock()
	if !tenure.owns(methodCancel, call) || !tenure.planner.Cancel(call.ID, time.Now()) {
		tenure.mu.Unlock()
		return planner.Reply{Verdict: planner.Missing}, nil
	}
	if !tenure.planner.HasUnstoredChanges(call.ID) {
		tenure.mu.Unlock()
		return planner.Reply{}, nil
	}
	done := tenure.notifyOnStored(call.ID)
	tenure.mu.Unlock()
	tenure.requestPlan()
	return tenure.awaitChange(ctx, done)
}

func (tenure *tenure) jobState(call Call) planner.Reply {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	state, known := tenure.planner.State(call.ID)
	if !known || !tenure.owns(methodState, call) {
		return planner.Reply{Verdict: planner.Missing}
	}
	return planner.Reply{State: state}
}
