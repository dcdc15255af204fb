package scheduler

import (
	"time"

	"ebonyshunt.org/library/planner"
	"github.com/prometheus/client_golang/prometheus"
)

// lateRunCounters count what is done about late urgent runs.
type lateRunCounters struct {
	outcomes *prometheus.CounterVec // by kind and outcome
	readings prometheus.Counter
}

func newLateRunCounters(registry *prometheus.Registry) *lateRunCounters {
	counters := &lateRunCounters{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_late_run_actions_total", Help: "Copies and moves of late urgent runs, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		readings: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ebonyshunt_readings_total", Help: "Polls of workers beside the regular ones, to read the progress of late urgent runs.",
		}),
	}
	registry.MustRegister(counters.outcomes, counters.readings)
	return counters
}

// readWorker polls a worker once without a wait, to read the progress of its runs. The answer may be lost without any
// consequence: the regular poll that is in flight shows whether the worker is responsive.
func (tenure *tenure) readWorker(worker string) {
	select {
	case tenure.immediatePolls <- struct{}{}:
		defer func() { <-tenure.immediatePolls }()
	default:
		return // the workers are polled without waits as often as is useful
	}
	poll, preparedAt, found := tenure.nextPoll(worker)
	if !found {
		return
	}
	listing, err := tenure.delegator.poll(tenure.ctx, nil, poll, 0, tenure.answerTimeout(immediatePollTimeout), preparedAt)
	tenure.host.metrics.polls.Inc()
	tenure.host.metrics.lateRuns.readings.Inc()
	tenure.meter.polls.Add(1)
	if err != nil {
		tenure.host.log.Debug("worker did not answer a reading", "worker", worker, "error", err)
		return
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.planner.HandleReading(worker, listing, time.Now())
	if tenure.planner.Dirty() {
		tenure.requestPlan()
	}
}

// logHedges logs and counts the copies and moves of late runs, and their outcomes.
func (tenure *tenure) logHedges(events []planner.HedgeEvent) {
	for _, event := range events {
		tenure.host.metrics.lateRuns.outcomes.WithLabelValues(event.Kind.String(), string(event.Outcome)).Inc()
		tenure.host.log.Info("late run", "action", event.Kind.String(), "outcome", string(event.Outcome), "task", event.Task.String(),
			"run", event.Number, "worker", event.Worker, "target", event.Target, "percent", event.Percent, "readAge", event.ReadAge.String(),
			"elapsed", event.Elapsed.String(), "expected", event.Expected.String(), "remaining", event.Remaining.String(),
			"restarted", event.Restarted.String(), "timeLeft", event.TimeLeft.String(), "earlier", event.Hedges,
			"slowWorker", event.SlowWorker, "chance", event.Chance)
	}
}
