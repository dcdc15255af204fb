package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

func newTestDelegator(ctx context.Context) *delegator {
	host := &Host{log: slog.New(slog.DiscardHandler)}
	return &delegator{tenure: &tenure{host: host, ctx: ctx, tickLag: newLag()}, delegates: map[string]*delegate{}, byZone: map[string][]Member{}}
}

// TestDelegateRest guards against a decider that loses all its delegates at once: calls that were late in the same moment each doubled
// the time for which a delegate rests, and the decider then did its work itself.
func TestDelegateRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delegator := newTestDelegator(t.Context())
		delegate := &delegate{pending: map[int64]chan DelegatedResult{}}
		failTogether := func() {
			for range 10 {
				delegator.fail(delegate, nil, errDelegateLost, errors.New("late"))
				time.Sleep(5 * time.Millisecond)
			}
		}
		for _, want := range []time.Duration{minHostBackoff, 2 * minHostBackoff, 4 * minHostBackoff} {
			failTogether()
			if delegate.backoff.length != want {
				t.Fatalf("the delegate rests %v, want %v", delegate.backoff.length, want)
			}
			time.Sleep(want)
		}
	})
}

// TestReadyDelegateResult guards against results that are thrown away: where a result had arrived when the time of its call was
// over, a busy decider took it for lost at random.
func TestReadyDelegateResult(t *testing.T) {
	delegator := newTestDelegator(t.Context())
	delegate := &delegate{pending: map[int64]chan DelegatedResult{}}
	results := make(chan DelegatedResult, 1)
	results <- DelegatedResult{ID: 7}
	if result := delegator.abandon(delegate, 7, results); result.delegateErr != nil || result.ID != 7 {
		t.Errorf("got %+v, want the result that has arrived", result)
	}
	if result := delegator.abandon(delegate, 8, make(chan DelegatedResult, 1)); !errors.Is(result.delegateErr, errDelegateLost) {
		t.Errorf("got error %v for a call without a result, want %v", result.delegateErr, errDelegateLost)
	}
}

// TestOutboxDelay guards against a message for each call: under load the messages to delegates cost the decider more than the
// calls that they carry. A call to a delegate that had none lately is not delayed by it.
func TestOutboxDelay(t *testing.T) {
	const load = 400 // calls a second
	now := time.Now()
	sentAt, messages := now.Add(-time.Minute), 0
	if delay := outboxDelayAt(now, sentAt); delay != outboxDelay {
		t.Errorf("the first call waits %v, want %v", delay, outboxDelay)
	}
	var leaves time.Time // when the message that is being filled leaves
	for call := range load {
		at := now.Add(time.Duration(call) * time.Second / load)
		if at.Before(leaves) {
			continue
		}
		if messages > 0 {
			sentAt = leaves
		}
		leaves = at.Add(outboxDelayAt(at, sentAt))
		messages++
	}
	if bound := int(time.Second/outboxInterval) + 1; messages > bound {
		t.Errorf("%d messages for %d calls in a second, want at most %d", messages, load, bound)
	}
}
