package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"

	"ebonyshunt.org/daemon/acceptor"
	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/library/budgeter"
	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/recorder"
	"github.com/prometheus/client_golang/prometheus"
)

// TestBusyPeer guards against a job that is refused although it may run: of two attempts at a submission, the decider has no memory
// for one while the other one arrives.
func TestBusyPeer(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(attempt int32, release <-chan struct{}) (any, error)
		unsent bool
	}{
		{"bothBusy", func(int32, <-chan struct{}) (any, error) { return nil, errBusy }, true},
		{"firstLateSecondBusy", func(attempt int32, release <-chan struct{}) (any, error) {
			if attempt == 1 {
				<-release
				return nil, errors.New("the decider changed meanwhile")
			}
			return nil, errBusy
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var attempts atomic.Int32
			release := make(chan struct{})
			server := linker.Serve(listener, "b", &recorder.Clock{}, nil, slog.New(slog.DiscardHandler), func(context.Context, string, string, json.RawMessage) (any, error) {
				attempt := attempts.Add(1)
				if attempt == 2 {
					defer close(release)
				}
				return test.answer(attempt, release)
			})
			defer server.Close()
			host := &Host{
				peerNetwork: dialer.TCP(), clock: &recorder.Clock{}, peerPool: linker.NewPool(dialer.TCP(), "a", &recorder.Clock{}),
				metrics: &metrics{hedgedCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "hedged"}, []string{"method"})},
			}
			defer host.peerPool.Close()
			caller := newHedgedCaller(host)
			defer caller.close()
			err = caller.call(t.Context(), listener.Addr().String(), methodSubmit, Call{ID: "1"}, nil, 0)
			if linker.ErrUnsent.Has(err) != test.unsent {
				t.Errorf("after %d attempts: %v; want certainly not carried out: %t", attempts.Load(), err, test.unsent)
			}
		})
	}
}

// TestBusyDecider checks that a decider refuses calls of peers for which there is no memory, and serves them again once there is.
func TestBusyDecider(t *testing.T) {
	host := &Host{requestBudget: budgeter.New(64 << 10), limits: acceptor.NewReporter(prometheus.NewRegistry(), slog.New(slog.DiscardHandler))}
	body, err := json.Marshal(Call{ID: "1", Job: &planner.Job{ID: "1", Payload: "s", Steps: []planner.Step{{Count: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	claim, err := host.requestBudget.Claim(host.requestBudget.MaxBytes(), func() {})
	if err != nil {
		t.Fatal(err)
	}
	rest, err := host.requestBudget.Claim(1, func() {})
	for err == nil {
		err = rest.Add(1)
	}
	if _, err := host.handlePeerCall(t.Context(), "a", methodSubmit, body); !errors.Is(err, errBusy) {
		t.Errorf("error %v, want %v", err, errBusy)
	}
	claim.Release()
	if _, err := host.handlePeerCall(t.Context(), "a", methodSubmit, body); !errors.Is(err, errNotDeciding) {
		t.Errorf("error %v, want %v", err, errNotDeciding)
	}
}
