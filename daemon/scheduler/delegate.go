package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"ebonyshunt.org/library/planner"
)

// DelegatedCalls are calls to workers that a host makes for the decider. The decider computed all that they carry: a
// delegate adds no authority of its own, and a call that it makes late does no more than one that the network delays.
type DelegatedCalls struct {
	Session  string            `json:"session"` // identifies the tenure of the decider
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
}

// DelegatedResult is the result of a DelegatedCall.
type DelegatedResult struct {
	ID      int64           `json:"id"`
	Listing json.RawMessage `json:"listing,omitempty"` // the worker's answer to a poll
	Outcome planner.Outcome `json:"outcome,omitempty"` // of an order
	ClockMS int64           `json:"clockMS,omitempty"` // as WorkerClient.Start returns it
	Error   string          `json:"error,omitempty"`

	delegateErr error // set by the decider if the delegate did not return a result
}

// CollectCall asks for results of a session.
type CollectCall struct {
	Session string        `json:"session"`
	Wait    time.Duration `json:"wait"` // maximum time to wait for a result
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
	results []DelegatedResult
	added   chan struct{} // receives a value when a result is added
	usedAt  time.Time
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
		found = &session{added: make(chan struct{}, 1)}
		sessions.table[id] = found
	}
	found.usedAt = now
	return found
}

func (sessions *sessions) add(session *session, result DelegatedResult) {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	session.results = append(session.results, result)
	select {
	case session.added <- struct{}{}:
	default:
	}
}

func (sessions *sessions) take(session *session) []DelegatedResult {
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	results := session.results
	session.results = nil
	return results
}

// makeDelegatedCalls starts to make calls to workers for a decider, which then collects their results.
func (host *Host) makeDelegatedCalls(calls DelegatedCalls) error {
	if host.shuttingDown.Load() {
		return Error.New("host %s is shutting down", host.settings.Host)
	}
	session := host.sessions.use(calls.Session)
	for _, call := range calls.Calls {
		if call.Order != nil {
			call.Order.Payload = calls.Payloads[call.Order.Key.Job]
		}
		host.wait.Go(func() { host.sessions.add(session, host.makeDelegatedCall(call)) })
	}
	return nil
}

func (host *Host) makeDelegatedCall(call DelegatedCall) DelegatedResult {
	ctx, cancel := context.WithTimeout(host.ctx, call.Timeout)
	defer cancel()
	result := DelegatedResult{ID: call.ID}
	var err error
	if call.Poll != nil {
		result.Listing, err = host.workers.RequestPoll(ctx, *call.Poll, call.Wait)
	} else {
		result.Outcome, result.ClockMS, err = host.workers.Start(ctx, *call.Order)
	}
	if err != nil {
		result.Error = err.Error()
	}
	return result
}

// collectResults returns the results of a session. It waits until there is one, at most for the time of the call.
func (host *Host) collectResults(ctx context.Context, call CollectCall) []DelegatedResult {
	session := host.sessions.use(call.Session)
	timer := time.NewTimer(call.Wait)
	defer timer.Stop()
	select {
	case <-session.added:
		sleep(ctx, collectDelay)
	case <-timer.C:
	case <-ctx.Done():
	}
	return host.sessions.take(session)
}
