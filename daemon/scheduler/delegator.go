package scheduler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// delegator lets other hosts poll workers and send start orders for the decider of a large fleet, so that the decider
// exchanges a few messages with each of these hosts in place of several with each worker. A call whose delegate fails
// is made by the decider itself if it certainly was not made, or if it is a poll.
type delegator struct {
	tenure  *tenure
	session string

	mu          sync.Mutex
	nextID      int64
	delegates   map[string]*delegate // by host
	byZone      map[string][]Member  // usable delegates by availability zone
	refreshedAt time.Time
}

// delegate is a host that makes calls for the decider.
type delegate struct {
	member     Member
	outbox     []DelegatedCall
	sentAt     time.Time                      // when the latest message left the outbox
	pending    map[int64]chan DelegatedResult // calls without a result
	unacked    []int64                        // IDs of received results whose acknowledgment has not reached the delegate yet
	collecting bool
	backoff    backoff
	clock      peerClock
	answered   bool // whether it has answered a message: only then is it known whether it tells its uptime
	asked      bool // whether a message is on its way to learn that
}

const (
	// delegateShareDivisor sets the capacity of a delegate: at least that of the decider divided by it.
	delegateShareDivisor = 2
	maxDelegatesPerZone  = 1
	// delegateRefreshInterval is the time between two choices of the usable delegates.
	delegateRefreshInterval = 250 * time.Millisecond
	// outboxDelay is the wait before calls are sent to a delegate, so that one message carries several.
	outboxDelay = 5 * time.Millisecond
	// outboxInterval is the minimum time between two messages to a delegate: under load, the number of messages costs the
	// decider more than their size.
	outboxInterval = 20 * time.Millisecond
	// delegateTimeout bounds the time until a delegate confirms calls.
	delegateTimeout = 300 * time.Millisecond
	// collectWait is how long a delegate without results delays its answer.
	collectWait = 300 * time.Millisecond
	// delegateSlack is the time that a delegate adds to a call.
	delegateSlack = 100 * time.Millisecond
	// idleCollects is the number of collections without pending calls after which they end.
	idleCollects = 3
)

func newDelegator(tenure *tenure) *delegator {
	return &delegator{
		tenure: tenure, session: tenure.host.bootID + "/" + strconv.FormatInt(tenure.term, 10),
		delegates: map[string]*delegate{}, byZone: map[string][]Member{},
	}
}

var (
	errDelegateLost   = errors.New("the delegate did not return a result")
	errDelegateUnsent = errors.New("the delegate did not get the call")
)

// pick returns the delegate of a worker: one of its availability zone, so that a network partition of the zone affects
// no other workers, and the same one as long as that is usable. It returns nil if there is none, or if the delegate has not told its uptime
// yet, for which it is then asked.
func (delegator *delegator) pick(worker, zone string, workerCount int) *delegate {
	if int64(workerCount) < delegator.tenure.host.settings.DelegateFrom {
		return nil
	}
	delegator.mu.Lock()
	defer delegator.mu.Unlock()
	if time.Since(delegator.refreshedAt) >= delegateRefreshInterval {
		delegator.refresh()
	}
	best, bestScore := "", uint64(0)
	for _, member := range delegator.byZone[zone] {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(member.Name)) // never fails
		_, _ = hash.Write([]byte(worker))
		if score := hash.Sum64(); best == "" || score > bestScore {
			best, bestScore = member.Name, score
		}
	}
	return delegator.askUptime(delegator.delegates[best])
}

// askUptime returns a delegate that has answered a message. It sends any other one a message without calls, and returns nil. The caller
// holds delegator.mu.
func (delegator *delegator) askUptime(delegate *delegate) *delegate {
	if delegate == nil || delegate.answered {
		return delegate
	}
	if !delegate.asked {
		delegate.asked = true
		delegator.tenure.wait.Go(func() { delegator.sendOutbox(delegate, 0) })
	}
	return nil
}

// refresh chooses the usable delegates again. The caller holds delegator.mu.
func (delegator *delegator) refresh() {
	delegator.refreshedAt = time.Now()
	host := delegator.tenure.host
	clear(delegator.byZone)
	for _, member := range host.fleet.others(host.settings.Host) {
		known := delegator.delegates[member.Name]
		switch {
		case member.ProcessorShare < host.settings.ProcessorShare/delegateShareDivisor || len(delegator.byZone[member.Zone]) >= maxDelegatesPerZone:
			continue
		case !delegator.tenure.quorum.includes(member.Name) || known != nil && delegator.refreshedAt.Before(known.backoff.until):
			continue
		}
		delegator.byZone[member.Zone] = append(delegator.byZone[member.Zone], member)
		if known == nil || known.member.BootID != member.BootID {
			delegator.delegates[member.Name] = &delegate{member: member, pending: map[int64]chan DelegatedResult{}}
		}
	}
}

// call makes a call through a delegate and waits for its result, or until ctx is done.
func (delegator *delegator) call(ctx context.Context, delegate *delegate, call DelegatedCall) DelegatedResult {
	delegator.tenure.meter.delegated.Add(1)
	results := make(chan DelegatedResult, 1)
	delegator.mu.Lock()
	delegator.nextID++
	call.ID = delegator.nextID
	delegate.pending[call.ID] = results
	delegate.outbox = append(delegate.outbox, call)
	first := len(delegate.outbox) == 1
	delay := outboxDelayAt(time.Now(), delegate.sentAt)
	collect := !delegate.collecting
	delegate.collecting = true
	delegator.mu.Unlock()
	if first {
		delegator.tenure.wait.Go(func() { delegator.sendOutbox(delegate, delay) })
	}
	if collect {
		delegator.tenure.wait.Go(func() { delegator.collect(delegate) })
	}
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return delegator.abandon(delegate, call.ID, results)
	}
}

// abandon ends a call whose time is over. It returns the result if that has arrived in the meantime.
func (delegator *delegator) abandon(delegate *delegate, id int64, results chan DelegatedResult) DelegatedResult {
	delegator.mu.Lock()
	delete(delegate.pending, id)
	delegator.mu.Unlock()
	select {
	case result := <-results:
		return result
	default:
		return DelegatedResult{delegateErr: errDelegateLost}
	}
}

// outboxDelayAt returns how long calls wait in an outbox that was empty, given when the latest message left it.
func outboxDelayAt(now, sentAt time.Time) time.Duration {
	return max(outboxDelay, outboxInterval-now.Sub(sentAt))
}

// sendOutbox sends the calls that wait for a delegate, after a delay.
func (delegator *delegator) sendOutbox(delegate *delegate, delay time.Duration) {
	tenure := delegator.tenure
	sleep(tenure.ctx, delay)
	delegator.mu.Lock()
	delegate.sentAt = time.Now()
	calls := DelegatedCalls{Session: delegator.session, Boot: delegate.clock.boot, Calls: delegate.outbox, Payloads: map[string]string{}}
	delegate.outbox = nil
	if calls.Boot != "" {
		for index := range calls.Calls {
			calls.Calls[index].SendBy = delegate.clock.at(calls.Calls[index].sendBy)
		}
	}
	delegator.mu.Unlock()
	for _, call := range calls.Calls {
		if call.Order != nil {
			calls.Payloads[call.Order.Key.Job] = call.Order.Payload
			call.Order.Payload = ""
		}
	}
	ctx, cancel := context.WithTimeout(tenure.ctx, delegateTimeout+tenure.lagAllowance())
	defer cancel()
	var answer DelegateAnswer
	err := tenure.host.hedgedCaller.call(ctx, delegate.member.Address, methodDelegate, calls, &answer, 0)
	delegator.recordUptime(delegate, answer, err == nil)
	if err == nil {
		return
	}
	lost := errDelegateLost
	if _, refused := linker.RemoteError(err); refused || linker.ErrUnsent.Has(err) {
		lost = errDelegateUnsent
	}
	delegator.fail(delegate, calls.Calls, lost, err)
}

// recordUptime records what a delegate told of its uptime, if it answered.
func (delegator *delegator) recordUptime(delegate *delegate, answer DelegateAnswer, answered bool) {
	receivedAt := delegator.tenure.host.uptime()
	delegator.mu.Lock()
	defer delegator.mu.Unlock()
	delegate.asked = false
	if answered {
		delegate.answered = true
		delegate.clock.record(answer.Boot, answer.Uptime, receivedAt)
	}
}

// tellsUptime reports whether a delegate sends no order later than it has to be sent by. Those of earlier releases do not know.
func (delegator *delegator) tellsUptime(delegate *delegate) bool {
	delegator.mu.Lock()
	defer delegator.mu.Unlock()
	return delegate.clock.boot != ""
}

// fail ends calls without a result and lets a delegate rest.
func (delegator *delegator) fail(delegate *delegate, calls []DelegatedCall, lost, reason error) {
	delegator.mu.Lock()
	if now := time.Now(); !now.Before(delegate.backoff.until) { // calls that fail together are one failure
		delegate.backoff.extend(now)
	}
	until := delegate.backoff.length
	delegator.refreshedAt = time.Time{}
	for _, call := range calls {
		if results := delegate.pending[call.ID]; results != nil {
			results <- DelegatedResult{ID: call.ID, delegateErr: lost}
			delete(delegate.pending, call.ID)
		}
	}
	delegator.mu.Unlock()
	if delegator.tenure.ctx.Err() == nil {
		delegator.tenure.host.log.Info("delegate failed", "delegate", delegate.member.Name, "calls", len(calls), "rests", until.String(), "error", reason)
	}
}

// collect collects the results of a delegate until no calls are pending, or the delegate fails.
func (delegator *delegator) collect(delegate *delegate) {
	tenure := delegator.tenure
	lateCtx, stopLate := context.WithCancel(tenure.ctx)
	defer stopLate()
	tenure.wait.Go(func() { delegator.collectLate(lateCtx, delegate) })
	for idle := 0; idle < idleCollects && tenure.ctx.Err() == nil; {
		pending, err := delegator.collectOnce(tenure.ctx, tenure.host.peerPool, delegate, 0)
		if err != nil {
			delegator.failAll(delegate, err)
			return
		}
		if pending {
			idle = 0
		} else {
			idle++
		}
	}
	delegator.mu.Lock()
	restart := len(delegate.pending) > 0 && tenure.ctx.Err() == nil
	delegate.collecting = restart
	delegator.mu.Unlock()
	if restart {
		delegator.collect(delegate)
	}
}

// collectLate collects, over a second connection, the results whose answer on the first one is late, until ctx is done. After a
// failed call it waits for delegateTimeout.
func (delegator *delegator) collectLate(ctx context.Context, delegate *delegate) {
	host := delegator.tenure.host
	for ctx.Err() == nil {
		minAge := collectDelay + host.hedgedCaller.delay(methodDelegate)
		if _, err := delegator.collectOnce(ctx, host.hedgedCaller.pool, delegate, minAge); err != nil {
			sleep(ctx, delegateTimeout)
		}
	}
}

// collectOnce makes one call for results, at least one of which has to have a minimum age. It reports whether calls are
// pending.
func (delegator *delegator) collectOnce(ctx context.Context, pool *linker.Pool, delegate *delegate, minAge time.Duration) (pending bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, collectWait+delegateTimeout+delegator.tenure.lagAllowance())
	defer cancel()
	delegator.mu.Lock()
	acked := slices.Clone(delegate.unacked)
	delegator.mu.Unlock()
	var results []DelegatedResult
	call := CollectCall{Session: delegator.session, Wait: collectWait, Acknowledges: true, Acked: acked, MinAge: minAge}
	if err := pool.Call(ctx, delegate.member.Address, methodCollect, call, &results); err != nil {
		return false, fmt.Errorf("collect results of %s: %w", delegate.member.Name, err)
	}
	return !delegator.deliver(delegate, acked, results), nil
}

// deliver passes results to the calls that wait for them, and reports whether no calls are pending. The delegate has learned
// that the acknowledged results were received.
func (delegator *delegator) deliver(delegate *delegate, acked []int64, results []DelegatedResult) (idle bool) {
	delegator.mu.Lock()
	defer delegator.mu.Unlock()
	if len(results) > 0 {
		delegate.backoff = backoff{}
	}
	delegate.unacked = slices.DeleteFunc(delegate.unacked, func(id int64) bool { return slices.Contains(acked, id) })
	for _, result := range results {
		if !slices.Contains(delegate.unacked, result.ID) {
			delegate.unacked = append(delegate.unacked, result.ID)
		}
		if waiting := delegate.pending[result.ID]; waiting != nil {
			waiting <- result
			delete(delegate.pending, result.ID)
		}
	}
	return len(delegate.pending) == 0
}

func (delegator *delegator) failAll(delegate *delegate, reason error) {
	delegator.mu.Lock()
	delegate.collecting = false
	var calls []DelegatedCall
	for id := range delegate.pending {
		calls = append(calls, DelegatedCall{ID: id})
	}
	delegator.mu.Unlock()
	slices.SortFunc(calls, func(a, b DelegatedCall) int { return cmp.Compare(a.ID, b.ID) })
	delegator.fail(delegate, calls, errDelegateLost, reason)
}

// poll makes a poll, prepared at an uptime, through a delegate, or directly without one. The error is errDelegateLost or errDelegateUnsent
// if the delegate did not return a result.
func (delegator *delegator) poll(ctx context.Context, delegate *delegate, poll planner.Poll, wait, timeout, preparedAt time.Duration) (planner.Listing, error) {
	sentAt := time.Now()
	sendBy := latestSend(preparedAt, timeout-wait)
	if delegate == nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return delegator.tenure.host.workers.Poll(ctx, poll, wait, delegator.tenure.host.timeLeft(sendBy))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+delegateSlack)
	defer cancel()
	result := delegator.call(ctx, delegate, DelegatedCall{Poll: &poll, Wait: wait, Timeout: timeout, sendBy: sendBy})
	switch {
	case result.delegateErr != nil:
		return planner.Listing{Token: poll.Token, SentAt: sentAt}, result.delegateErr
	case result.Error != "":
		return planner.Listing{Token: poll.Token, SentAt: sentAt}, Error.New("through %s: %s", delegate.member.Name, result.Error)
	}
	return translator.DecodeListing(result.Listing, poll, sentAt)
}

// start sends a start order, prepared at an uptime, through a delegate, or directly if there is none or it certainly did not get the order.
// The order is not sent any more once start has returned.
func (delegator *delegator) start(ctx context.Context, delegate *delegate, order planner.Order, timeout, preparedAt time.Duration) (planner.Outcome, int64, error) {
	host := delegator.tenure.host
	sendBy := latestSend(preparedAt, timeout)
	if delegate != nil && delegator.tellsUptime(delegate) {
		callCtx, cancel := context.WithTimeout(ctx, timeout+delegateSlack)
		sent := order
		result := delegator.call(callCtx, delegate, DelegatedCall{Order: &sent, Timeout: timeout, sendBy: sendBy})
		cancel()
		switch {
		case errors.Is(result.delegateErr, errDelegateLost):
			sleep(ctx, sendBy-host.uptime())
			return planner.Unknown, 0, result.delegateErr
		case result.delegateErr == nil && result.Error != "":
			return result.Outcome, result.ClockMS, Error.New("through %s: %s", delegate.member.Name, result.Error)
		case result.delegateErr == nil:
			return result.Outcome, result.ClockMS, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return host.workers.Start(ctx, order, host.timeLeft(sendBy))
}
