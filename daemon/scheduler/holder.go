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
	woken   chan struct{} // a start is sent to a worker that rests
	lost    time.Time     // when a look at it last got no answer
}

// wake ends the holder's rest.
func (holder *holder) wake() {
	select {
	case holder.woken <- struct{}{}:
	default:
	}
}

const (
	shortWait    = time.Second           // of one look, for an end of urgent work
	longWait     = 2 * time.Second       // of one look, for an end of other work
	gatherUrgent = 20 * time.Millisecond // between two looks at a worker, so that one tells of several ends
	gatherEnds   = 60 * time.Millisecond // the same for a worker without urgent work
	holdSlack    = 300 * time.Millisecond
	quickWithin  = 250 * time.Millisecond // of a look that does not wait
	lossyWait    = 200 * time.Millisecond // of one look for an end of urgent work, while answers get lost
	lossyWithin  = 100 * time.Millisecond // of an order, or a look beyond what it waits, while answers get lost
	lostLately   = 2 * time.Second        // before the next answer, for a loss to count as one of answers
	lossWeight   = 64                     // of the latest answer among the losses, as a divisor
	lossyOrders  = 30_000                 // lost of a million from which on many are
	startWithin  = 250 * time.Millisecond
	stopWithin   = 500 * time.Millisecond
	ackPatience  = 250 * time.Millisecond // for ends to be stored before the next look
	firstRetry   = 60 * time.Millisecond
	mostRetry    = 500 * time.Millisecond
	startsAtOnce = 2
	quickAtOnce  = 128 // looks that do not wait, over all workers
	restingLooks = 150 // a second, at the workers that run nothing
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
	holder := &holder{worker: id, cancel: cancel, turns: make(chan struct{}, startsAtOnce), woken: make(chan struct{}, 1)}
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
		err := tenure.lookInTurn(ctx, holder.worker, wait)
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
		need := tenure.planner.NeedOf(holder.worker, time.Now())
		stored, rest := tenure.stored, tenure.rest()
		tenure.mu.Unlock()
		if need != planner.NeedAcknowledgement {
			return tenure.gather(ctx, holder, need, rest)
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

// lookInTurn makes one hold. Those that do not wait take turns, so that a whole fleet that has to be looked
// at is not asked all at once, and then again because the answers are late.
func (tenure *tenure) lookInTurn(ctx context.Context, worker string, wait time.Duration) error {
	if wait == 0 {
		select {
		case tenure.quick <- struct{}{}:
			defer func() { <-tenure.quick }()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return tenure.look(ctx, worker, wait)
}

// gather lets some time pass before a look, so that it tells of more, and returns how long the worker may wait
// with its answer. While answers get lost no look waits for long, since a lost one says nothing until its end.
func (tenure *tenure) gather(ctx context.Context, holder *holder, need planner.Need, rest time.Duration) time.Duration {
	lossy := tenure.losses.lossy()
	usual := longWait
	switch need {
	case planner.NeedKnowledge:
		return 0
	case planner.NeedUrgentEnd:
		if !lossy && !tenure.journal.losses.lossy() {
			sleep(ctx, gatherUrgent)
		}
		usual = shortWait
	case planner.NeedEnd:
		if !lossy {
			sleep(ctx, gatherEnds)
		}
	case planner.NeedNothing, planner.NeedAcknowledgement:
		if lossy {
			rest = max(rest, longWait)
		}
		pause(ctx, holder.woken, rest)
	}
	if lossy {
		return lossyWait
	}
	return usual
}

// rest returns how long a worker that runs nothing goes without a look, so that a large fleet at rest costs
// no more than a middling one.
func (tenure *tenure) rest() time.Duration {
	turn := time.Duration(len(tenure.holds)) * time.Second / restingLooks
	return min(max(turn-longWait, gatherEnds), planner.MostRest-2*longWait)
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
	slack := holdSlack
	if wait == 0 {
		slack = quickWithin
	}
	limited, cancel := context.WithTimeout(ctx, wait+tenure.patience(slack))
	defer cancel()
	listing, err := tenure.host.orders.Hold(limited, hold, wait)
	tenure.host.metrics.looks.Inc()
	if tenure.ctx.Err() != nil {
		return tenure.ctx.Err()
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.noteLoss(worker, err != nil)
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

// noteLoss takes note of whether a look was answered. A worker that goes on to answer lost an answer, one
// that does not is silent.
func (tenure *tenure) noteLoss(worker string, lost bool) {
	holder := tenure.holds[worker]
	if holder == nil {
		return
	}
	if lost {
		holder.lost = time.Now()
		return
	}
	if tenure.losses.note(time.Since(holder.lost) < lostLately, tenure.host.uptime()) {
		tenure.host.log.Info("losses of workers' answers", "many", tenure.losses.lossy(), "perMillion", tenure.losses.value.Load(), "worker", worker)
	}
	holder.lost = time.Time{}
}

// patience returns how long an answer may take: less than usual while answers get lost.
func (tenure *tenure) patience(usual time.Duration) time.Duration {
	if tenure.losses.lossy() {
		return min(usual, lossyWithin)
	}
	return usual
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
		holder := tenure.holderOf(start)
		if holder != nil {
			select {
			case holder.turns <- struct{}{}:
				defer func() { <-holder.turns }()
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
		if holder != nil {
			holder.wake()
		}
		ctx, cancel := context.WithTimeout(tenure.ctx, tenure.patience(startWithin))
		defer cancel()
		outcome, clock, err := tenure.host.orders.Start(ctx, order)
		tenure.answered(order, outcome, clock, err)
	})
}

// holderOf returns the holder of a start's worker, or nil.
func (tenure *tenure) holderOf(start planner.Start) *holder {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.holds[tenure.planner.WorkerOf(start)]
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
	if outcome == planner.Unknown {
		tenure.noteLoss(order.Worker, true)
	}
	tenure.planner.Answered(order, outcome, clock, time.Now())
	if tenure.planner.Dirty() {
		tenure.kick()
	}
}
