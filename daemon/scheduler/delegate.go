package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// DelegatedCalls are calls to workers that a host makes for the decider. The decider computed all that they carry: a
// delegate adds no authority of its own, and sends no call later than it says. Without calls, it asks for the answer only.
type DelegatedCalls struct {
	Session  string            `json:"session"`        // identifies the tenure of the decider
	Boot     string            `json:"boot,omitempty"` // process of the delegate whose uptime the calls refer to, empty if they refer to none
	Calls    []DelegatedCall   `json:"calls"`
	Payloads map[string]string `json:"payloads,omitempty"` // of the orders, by job
}

// DelegatedCall is one poll or one start order.
type DelegatedCall struct {
	ID      int64          `json:"id"`
	Poll    *planner.Poll  `json:"poll,omitempty"`
	Wait    time.Duration  `json:"wait,omitempty"` // of a poll
	Order   *planner.Order `json:"order,omitempty"`
	Timeout time.Duration  `json:"timeout"`
	// SendBy is the uptime of the delegate up to which it may send the call, 0 if a decider of an earlier release does not tell.
	SendBy time.Duration `json:"sendBy,omitempty"`

	sendBy time.Duration // SendBy as an uptime of the decider, which it is computed from
}

// DelegateAnswer is the answer to DelegatedCalls. Delegates of earlier releases answer with an empty one.
type DelegateAnswer struct {
	Boot   string        `json:"boot,omitempty"`   // process of the delegate
	Uptime time.Duration `json:"uptime,omitempty"` // of that process, when it answered
}

// DelegatedResult is the result of a DelegatedCall.
type DelegatedResult struct {
	ID      int64           `json:"id"`
	Listing json.RawMessage `json:"listing,omitempty"` // the worker's answer to a poll
	Outcome planner.Outcome `json:"outcome,omitempty"` // of an order
	ClockMS int64           `json:"clockMS,omitempty"` // as WorkerClient.Start returns it
	Error   string          `json:"error,omitempty"`

	addedAt     time.Time // at the delegate
	sent        bool      // whether the delegate has sent it at least once
	delegateErr error     // set by the decider if the delegate did not return a result
}

// CollectCall asks for results of a session.
type CollectCall struct {
	Session string        `json:"session"`
	Wait    time.Duration `json:"wait"` // maximum time to wait for a result
	// Acknowledges reports whether the decider acknowledges results in Acked. A delegate forgets what it has sent to deciders
	// of earlier releases, which do not.
	Acknowledges bool    `json:"acknowledges,omitempty"`
	Acked        []int64 `json:"acked,omitempty"` // IDs of the results that the decider has received
	// MinAge, if above 0, makes this a call for late results: the delegate answers only once its oldest unacknowledged result has
	// this age, or with nothing after Wait. 0 makes it the regular call, which is answered as soon as there is a new result.
	MinAge time.Duration `json:"minAge,omitempty"`
}

// UnmarshalJSON decodes calls, and refuses those without a session and calls that are neither a poll nor an order.
func (delegatedCalls *DelegatedCalls) UnmarshalJSON(data []byte) error {
	type plain DelegatedCalls
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode delegated calls: %w", err)
	}
	if decoded.Session == "" {
		return Error.New("delegated calls have no session")
	}
	for _, call := range decoded.Calls {
		if (call.Poll == nil) == (call.Order == nil) {
			return Error.New("delegated call %d has to be either a poll or an order", call.ID)
		}
	}
	*delegatedCalls = DelegatedCalls(decoded)
	return nil
}

const (
	// maxSessionIdle is how long a session is kept after the last call of its decider.
	maxSessionIdle = 10 * time.Second
	// collectDelay is the wait after a result, so that one answer carries several.
	collectDelay = 15 * time.Millisecond
)

// session holds the results that a decider has not collected yet.
type session struct {
	results  []DelegatedResult
	added    chan struct{} // receives a value when a result is added
	usedAt   time.Time
	received map[int64]bool // IDs of the latest calls, since calls may arrive twice
	formerly map[int64]bool // IDs of the calls before these
}

// maxRemembered is the number of calls of a session that are remembered in each of two generations.
const maxRemembered = 2048

// isNew records the ID of a call and reports whether the call arrived for the first time.
func (session *session) isNew(id int64) bool {
	if session.received[id] || session.formerly[id] {
		return false
	}
	if len(session.received) >= maxRemembered {
		session.received, session.formerly = map[int64]bool{}, session.received
	}
	session.received[id] = true
	return true
}

// sessions holds the sessions of a delegate.
type sessions struct {
	mu    sync.Mutex
	table map[string]*session
}

func newSessions() *sessions { return &sessions{table: map[string]*session{}} }

// use returns a session, which it creates on first use, and drops the sessions that were not used for maxSessionIdle.
func (sessions *sessions) use(id string) *session {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	now := time.Now()
	for other, session := range sessions.table {
		if now.Sub(session.usedAt) > maxSessionIdle {
			delete(sessions.table, other)
		}
	}
	found := sessions.table[id]
	if found == nil {
		found = &session{added: make(chan struct{}, 1), received: map[int64]bool{}}
		sessions.table[id] = found
	}
	found.usedAt = now
	return found
}

func (sessions *sessions) add(session *session, result DelegatedResult) {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	result.addedAt = time.Now()
	session.results = append(session.results, result)
	select {
	case session.added <- struct{}{}:
	default:
	}
}

// take returns the results to send, nil for none. A regular call gets all unacknowledged results if the latest one was not sent
// before; a call with MinAge gets them if the oldest one has that age. A decider of an earlier release, which does not
// acknowledge, gets each result once.
func (sessions *sessions) take(session *session, call CollectCall) []DelegatedResult {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	results := slices.Clone(session.results)
	switch {
	case len(results) == 0:
	case !call.Acknowledges:
		session.results = nil
	case call.MinAge > 0:
		if time.Since(results[0].addedAt) < call.MinAge {
			return nil
		}
	case results[len(results)-1].sent:
		return nil
	default:
		for index := range session.results {
			session.results[index].sent = true
		}
	}
	return results
}

// acknowledge removes the results that the decider has received.
func (sessions *sessions) acknowledge(session *session, acked []int64) {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	session.results = slices.DeleteFunc(session.results, func(result DelegatedResult) bool { return slices.Contains(acked, result.ID) })
}

// firstOf returns the calls that arrived for the first time.
func (sessions *sessions) firstOf(session *session, calls []DelegatedCall) []DelegatedCall {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	return slices.DeleteFunc(calls, func(call DelegatedCall) bool { return !session.isNew(call.ID) })
}

// errUnboundedOrder reports that a delegate made none of some calls, since an order does not tell by when it has to be sent.
var errUnboundedOrder = errors.New("an order without a time by which to send it is not passed on")

// makeDelegatedCalls starts to make calls to workers for a decider, which then collects their results. After an error, none of the calls
// is made.
func (host *Host) makeDelegatedCalls(calls DelegatedCalls) (DelegateAnswer, error) {
	switch {
	case host.shuttingDown.Load():
		return DelegateAnswer{}, Error.New("host %s is shutting down", host.settings.Host)
	case calls.Boot != "" && calls.Boot != host.bootID:
		return DelegateAnswer{}, Error.New("the calls are for another process of host %s", host.settings.Host)
	case calls.Boot == "" && slices.ContainsFunc(calls.Calls, func(call DelegatedCall) bool { return call.Order != nil }):
		return DelegateAnswer{}, errUnboundedOrder
	}
	session := host.sessions.use(calls.Session)
	for _, call := range host.sessions.firstOf(session, calls.Calls) {
		if call.Order != nil {
			call.Order.Payload = calls.Payloads[call.Order.Key.Job]
		}
		host.wait.Go(func() { host.sessions.add(session, host.makeDelegatedCall(call)) })
	}
	return DelegateAnswer{Boot: host.bootID, Uptime: host.uptime()}, nil
}

// makeDelegatedCall makes a call unless the time to send it is over. A poll of a decider of an earlier release has the time of its answer.
func (host *Host) makeDelegatedCall(call DelegatedCall) DelegatedResult {
	if call.SendBy == 0 {
		call.SendBy = host.uptime() + call.Timeout
	}
	ctx, cancel := context.WithTimeout(host.ctx, call.Timeout)
	defer cancel()
	result := DelegatedResult{ID: call.ID}
	var err error
	if call.Poll != nil {
		result.Listing, err = host.workers.RequestPoll(ctx, *call.Poll, call.Wait, host.timeLeft(call.SendBy))
	} else {
		result.Outcome, result.ClockMS, err = host.workers.Start(ctx, *call.Order, host.timeLeft(call.SendBy))
	}
	if errors.Is(err, translator.ErrNotSentInTime) {
		host.recordDropped(call)
	}
	if err != nil {
		result.Error = err.Error()
	}
	return result
}

// recordDropped counts a call that was not sent, and logs it if it is an order.
func (host *Host) recordDropped(call DelegatedCall) {
	host.metrics.droppedCalls.Inc()
	if order := call.Order; order != nil {
		host.log.Info("order dropped", "task", order.Key.String(), "run", order.Number, "worker", order.Worker, "late", (host.uptime() - call.SendBy).String())
	}
}

// collectResults returns the results of a session. It waits until there is one, at most for the time of the call.
func (host *Host) collectResults(ctx context.Context, call CollectCall) []DelegatedResult {
	session := host.sessions.use(call.Session)
	host.sessions.acknowledge(session, call.Acked)
	if call.MinAge > 0 {
		return host.collectLate(ctx, session, call)
	}
	timer := time.NewTimer(call.Wait)
	defer timer.Stop()
	select {
	case <-session.added:
		sleep(ctx, collectDelay)
	case <-timer.C:
	case <-ctx.Done():
	}
	return host.sessions.take(session, call)
}

// lateCheckInterval is the time between two searches for late results.
const lateCheckInterval = 10 * time.Millisecond

// collectLate returns the results of a session once the oldest one has the minimum age of the call, or none after its wait.
func (host *Host) collectLate(ctx context.Context, session *session, call CollectCall) []DelegatedResult {
	for until := time.Now().Add(call.Wait); ctx.Err() == nil && time.Now().Before(until); sleep(ctx, lateCheckInterval) {
		if results := host.sessions.take(session, call); len(results) > 0 {
			return results
		}
	}
	return nil
}
