package scheduler

import (
	"context"
	"errors"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// holder keeps one worker's runs alive and reads what it lists.
type holder struct {
	worker  string
	cancel  context.CancelFunc
	fencing bool          // a look under a raised token is on its way
	turns   chan struct{} // starts that may be on their way at once
}

const (
	shortWait    = time.Second           // of one look, for an end of urgent work
	longWait     = 2 * time.Second       // of one look, for an end of other work
	gatherEnds   = 40 * time.Millisecond // between two looks at a worker without urgent work
	holdSlack    = 300 * time.Millisecond
	quickWithin  = 250 * time.Millisecond // of a look that does not wait
	startWithin  = 250 * time.Millisecond
	stopWithin   = 500 * time.Millisecond
	ackPatience  = 250 * time.Millisecond // for ends to be stored before the next look
	firstRetry   = 60 * time.Millisecond
	mostRetry    = 500 * time.Millisecond
	startsAtOnce = 2
)

// keepHolders starts a holder for each worker of the table and ends those of workers that left it.
func (tenure *tenure) keepHolders() {
	present := map[string]bool{}
	for _, worker := range tenure.planner.Workers() {
		present[worker.ID] = true
		if tenure.holds[worker.ID] == nil {
			tenure.hold(worker.ID)
		}
	}
	for id, holder := range tenure.holds {
		if !present[id] {
			holder.cancel()
			delete(tenure.holds, id)
		}
	}
}

func (tenure *tenure) hold(id string) {
	ctx, cancel := context.WithCancel(tenure.ctx)
	holder := &holder{worker: id, cancel: cancel, turns: make(chan struct{}, startsAtOnce)}
	tenure.holds[id] = holder
	tenure.wait.Go(func() { tenure.keepHolding(ctx, holder) })
}

// keepHolding looks at a worker again and again, each time until a run ends or some time has passed.
func (tenure *tenure) keepHolding(ctx context.Context, holder *holder) {
	retry := firstRetry
	for ctx.Err() == nil {
		wait := tenure.beforeHold(ctx, holder)
		if !tenure.authorized() {
			sleep(ctx, mostRetry)
			continue
		}
		err := tenure.look(ctx, holder.worker, wait)
		if err == nil {
			retry = firstRetry
			if wait == 0 {
				sleep(ctx, firstRetry)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		tenure.host.log.Debug("worker does not answer", "worker", holder.worker, "error", err)
		sleep(ctx, retry)
		retry = min(2*retry, mostRetry)
	}
}

// beforeHold waits for listed ends to be stored, so that the look acknowledges them, and returns how long
// the worker may wait with its answer.
func (tenure *tenure) beforeHold(ctx context.Context, holder *holder) time.Duration {
	limit := time.NewTimer(ackPatience)
	defer limit.Stop()
	for {
		tenure.mu.Lock()
		unstored := tenure.planner.Unacknowledged(holder.worker)
		looked, urgent := tenure.planner.Looked(holder.worker), tenure.planner.Urgent(holder.worker)
		stored := tenure.stored
		tenure.mu.Unlock()
		if !unstored {
			if !looked {
				return 0
			}
			if urgent {
				return shortWait
			}
			sleep(ctx, gatherEnds)
			return longWait
		}
		select {
		case <-stored:
		case <-limit.C:
			return 0
		case <-ctx.Done():
			return 0
		}
	}
}

// look makes one hold and passes its listing on.
func (tenure *tenure) look(ctx context.Context, worker string, wait time.Duration) error {
	tenure.mu.Lock()
	hold, found := tenure.planner.NextHold(worker, time.Now())
	tenure.mu.Unlock()
	if !found {
		sleep(ctx, mostRetry)
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, max(wait+holdSlack, quickWithin))
	defer cancel()
	listing, err := tenure.host.orders.Hold(limited, hold, wait)
	tenure.host.metrics.looks.Inc()
	if tenure.ctx.Err() != nil {
		return tenure.ctx.Err()
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if err != nil {
		tenure.planner.Unreachable(worker, time.Now())
		return err
	}
	tenure.planner.Listed(worker, listing, time.Now())
	if tenure.planner.Dirty() {
		tenure.kick()
	}
	return nil
}

// carryOut does what needs no record.
func (tenure *tenure) carryOut(effects []planner.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case planner.Stop:
			tenure.wait.Go(func() { tenure.stop(effect) })
		case planner.Fence:
			tenure.fence(effect.Worker)
		case planner.Ask:
			tenure.wait.Go(func() { tenure.policy.ask(effect) })
		}
	}
}

func (tenure *tenure) stop(stop planner.Stop) {
	ctx, cancel := context.WithTimeout(tenure.ctx, stopWithin)
	defer cancel()
	outcome, err := tenure.host.orders.Stop(ctx, stop)
	tenure.host.log.Info("stop", "task", stop.Key.String(), "run", stop.Number, "worker", stop.Worker, "outcome", outcome.String(), "error", err)
}

// fence looks at a worker under its raised token until it answers.
func (tenure *tenure) fence(worker string) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	holder := tenure.holds[worker]
	if holder == nil || holder.fencing {
		return
	}
	holder.fencing = true
	tenure.wait.Go(func() {
		retry := firstRetry
		for tenure.ctx.Err() == nil {
			if err := tenure.look(tenure.ctx, worker, 0); err == nil {
				break
			}
			sleep(tenure.ctx, retry)
			retry = min(2*retry, mostRetry)
			if tenure.gone(holder) {
				break
			}
		}
		tenure.mu.Lock()
		holder.fencing = false
		tenure.mu.Unlock()
	})
}

func (tenure *tenure) gone(holder *holder) bool {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.holds[holder.worker] != holder
}

// start sends an order whose record is stored.
func (tenure *tenure) start(start planner.Start) {
	tenure.wait.Go(func() {
		turns := tenure.turnsOf(start)
		if turns != nil {
			select {
			case turns <- struct{}{}:
				defer func() { <-turns }()
			case <-tenure.ctx.Done():
				return
			}
		}
		tenure.mu.Lock()
		order, wanted := tenure.planner.Prepare(start, time.Now())
		tenure.mu.Unlock()
		if !wanted || tenure.ctx.Err() != nil {
			tenure.kick()
			return
		}
		ctx, cancel := context.WithTimeout(tenure.ctx, startWithin)
		defer cancel()
		outcome, clock, err := tenure.host.orders.Start(ctx, order)
		tenure.answered(order, outcome, clock, err)
	})
}

func (tenure *tenure) turnsOf(start planner.Start) chan struct{} {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if holder := tenure.holds[tenure.planner.WorkerOf(start)]; holder != nil {
		return holder.turns
	}
	return nil
}

func (tenure *tenure) answered(order planner.Order, outcome planner.Outcome, clock int64, err error) {
	if tenure.ctx.Err() != nil {
		return
	}
	tenure.host.metrics.starts.WithLabelValues(outcome.String()).Inc()
	attributes := []any{"task", order.Key.String(), "run", order.Number, "worker", order.Worker, "token", order.Token, "outcome", outcome.String()}
	if err != nil && !errors.Is(err, translator.ErrUnknown) {
		attributes = append(attributes, "error", err)
	}
	tenure.host.log.Info("start", attributes...)
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.planner.Answered(order, outcome, clock, time.Now())
	if tenure.planner.Dirty() {
		tenure.kick()
	}
}
