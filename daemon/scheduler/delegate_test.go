package scheduler

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// delegateFleet is a delegate with one worker, which counts the calls that reach it whole: the head of a call that is dropped may reach it,
// but nothing is carried out without the body.
type delegateFleet struct {
	*Host
	address string
	calls   atomic.Int32
}

func newDelegateFleet(t *testing.T) *delegateFleet {
	fleet := &delegateFleet{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if body, err := io.ReadAll(request.Body); err != nil || len(body) == 0 {
			return
		}
		fleet.calls.Add(1)
		_, _ = writer.Write([]byte(`{"clockMs":5,"running":[],"finished":[]}`))
	}))
	fleet.address = server.Listener.Addr().String()
	fleet.Host = &Host{
		started: time.Now().Add(-time.Hour), bootID: "boot", ctx: t.Context(), log: slog.New(slog.DiscardHandler), sessions: newSessions(),
		workers: translator.NewWorkerClient(server.Client()),
	}
	fleet.metrics = newMetrics(fleet.Host)
	t.Cleanup(func() {
		fleet.wait.Wait()
		server.Close()
	})
	return fleet
}

func (delegateFleet *delegateFleet) order() *planner.Order {
	return &planner.Order{Key: planner.TaskKey{Job: "a"}, Number: 1, Worker: "w", Address: delegateFleet.address}
}

func (delegateFleet *delegateFleet) poll() *planner.Poll {
	return &planner.Poll{Worker: "w", Address: delegateFleet.address}
}

// TestDelegatedCallAge guards against calls that a delegate makes long after the decider has given them up, to workers that were started
// anew meanwhile: a call tells by when it has to be sent, on the clock of the delegate, and one without that is an order of an earlier
// release, which the decider sends itself. See review/12.
func TestDelegatedCallAge(t *testing.T) {
	for _, test := range []struct {
		name    string
		boot    string
		poll    bool
		sendBy  time.Duration // relative to now, 0 for none
		refused bool          // whether none of the calls is made, which the decider learns at once
		dropped bool
		calls   int32
	}{
		{name: "inTime", boot: "boot", sendBy: time.Minute, calls: 1},
		{name: "late", boot: "boot", sendBy: -time.Millisecond, dropped: true},
		{name: "latePoll", boot: "boot", poll: true, sendBy: -time.Millisecond, dropped: true},
		{name: "otherProcess", boot: "former", sendBy: time.Minute, refused: true},
		{name: "earlierRelease", refused: true},
		{name: "pollOfEarlierRelease", poll: true, calls: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newDelegateFleet(t)
			call := DelegatedCall{ID: 1, Timeout: time.Minute}
			if test.sendBy != 0 {
				call.SendBy = fleet.uptime() + test.sendBy
			}
			if test.poll {
				call.Poll = fleet.poll()
			} else {
				call.Order = fleet.order()
			}
			answer, err := fleet.makeDelegatedCalls(DelegatedCalls{Session: "s", Boot: test.boot, Calls: []DelegatedCall{call}})
			if (err != nil) != test.refused || err == nil && (answer.Boot != "boot" || answer.Uptime < time.Hour) {
				t.Fatalf("answer %+v, error %v, want refused %t", answer, err, test.refused)
			}
			fleet.wait.Wait()
			results := fleet.sessions.use("s").results
			if len(results) == 1 != (err == nil) {
				t.Fatalf("results %+v", results)
			}
			if dropped := len(results) == 1 && results[0].Error != ""; dropped != test.dropped || dropped && !test.poll && results[0].Outcome != planner.Dropped {
				t.Errorf("results %+v, want dropped %t", results, test.dropped)
			}
			if calls := fleet.calls.Load(); calls != test.calls {
				t.Errorf("%d calls reached the worker, want %d", calls, test.calls)
			}
		})
	}
}

// TestDelegateOfEarlierRelease checks that orders go to the workers directly while the delegate does not tell its uptime, since it would not
// drop one that it holds for too long.
func TestDelegateOfEarlierRelease(t *testing.T) {
	fleet := newDelegateFleet(t)
	delegator := &delegator{tenure: &tenure{host: fleet.Host, ctx: t.Context(), tickLag: newLag()}}
	outcome, _, err := delegator.start(t.Context(), &delegate{answered: true}, *fleet.order(), time.Minute, fleet.uptime())
	if outcome != planner.Accepted || err != nil || fleet.calls.Load() != 1 {
		t.Errorf("outcome %v, error %v, %d calls, want the order sent directly", outcome, err, fleet.calls.Load())
	}
	outcome, _, err = delegator.start(t.Context(), nil, *fleet.order(), time.Second, fleet.uptime()-2*time.Second)
	if outcome != planner.Dropped || !errors.Is(err, translator.ErrNotSentInTime) || fleet.calls.Load() != 1 {
		t.Errorf("outcome %v, error %v, %d calls, want an old order dropped by the decider itself", outcome, err, fleet.calls.Load())
	}
}
