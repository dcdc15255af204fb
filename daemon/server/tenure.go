package server

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/limiter"
)

// tenure is one term in which this host decides for its zone.
type tenure struct {
	server *Server
	term   fencer.Term
	zone   string
	ready  atomic.Bool // the workers were claimed and the records gathered
	wake   chan struct{}

	mu        sync.Mutex
	decider   *decider.Decider
	calls     map[string]*claimCall       // by worker
	waiters   map[string]chan PlaceAnswer // by work
	resolvers map[string][]chan struct{}  // by task, closed when it is settled
	recent    map[string]recentEnd        // by work
	jobs      map[string]*jobRow
	early     map[string]earlyEnd // ends of tasks whose jobs are not known yet, by work
	keys      map[string]*keyRow
	lost      bool            // records of earlier terms may be missing
	pending   *limiter.Record // slice record that the log has not shown yet
	begunAt   time.Time
	keysFrom  time.Time // before it, a former decider may still answer for keys

	cancel context.CancelFunc
	ctx    context.Context
	wait   sync.WaitGroup
}

// earlyEnd is an end that was reported before its job was known.
type earlyEnd struct {
	effect decider.Ended
	at     time.Time
}

// recentEnd remembers how the last attempt of a work ended.
type recentEnd struct {
	task   string
	ending decider.Ending
	at     time.Time
}

const (
	claimTimeout  = 400 * time.Millisecond
	claimEvery    = 12 * time.Second
	soonestClaim  = 200 * time.Millisecond
	claimScan     = 50 * time.Millisecond
	tickEvery     = 50 * time.Millisecond
	tickSpacing   = time.Millisecond
	controlRetry  = 300 * time.Millisecond
	recentKept    = 10 * time.Minute
	resolveWait   = 4 * time.Second
	authoritySpan = 14 * time.Second // longer than claimEvery and its retry
	authorityWait = authoritySpan + 2*verifyBound
	verifyBound   = 500 * time.Millisecond // age at which an entry host drops an answer about a key
	clientTimeout = 2 * time.Second
)

func (server *Server) newTenure(term fencer.Term) *tenure {
	tenure := &tenure{
		server:    server,
		term:      term,
		zone:      server.settings.Zone,
		wake:      make(chan struct{}, 1),
		decider:   decider.New(decider.DefaultSettings(), term),
		calls:     map[string]*claimCall{},
		waiters:   map[string]chan PlaceAnswer{},
		resolvers: map[string][]chan struct{}{},
		recent:    map[string]recentEnd{},
		jobs:      map[string]*jobRow{},
		early:     map[string]earlyEnd{},
		keys:      map[string]*keyRow{},
		begunAt:   time.Now(),
	}
	tenure.ctx, tenure.cancel = context.WithCancel(context.Background())
	return tenure
}

func (tenure *tenure) run() {
	tenure.ready.Store(true)
	tenure.wait.Go(tenure.tickLoop)
	tenure.wait.Go(func() { tenure.server.every(tenure.ctx, claimScan, tenure.claimDue) })
	tenure.wait.Go(func() { tenure.server.every(tenure.ctx, tradeEvery, tenure.trade) })
}

// close ends the tenure and waits for its goroutines; waiting callers are told to ask again.
func (tenure *tenure) close() {
	tenure.ready.Store(false)
	tenure.cancel()
	tenure.wait.Wait()
}

// refresh hands the present list and configuration to the decider.
func (tenure *tenure) refresh() {
	workers := tenure.server.zoneWorkers()
	view := tenure.server.viewer.View()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.decider.SetWorkers(workers, time.Now())
	tenure.decider.SetServices(serviceInfos(view))
	tenure.decider.SetTeams(tenure.teamInfos(view))
	for _, worker := range workers {
		if tenure.calls[worker.Name] == nil {
			tenure.calls[worker.Name] = &claimCall{}
		}
	}
	for name := range tenure.calls {
		if !slices.ContainsFunc(workers, func(info decider.WorkerInfo) bool { return info.Name == name }) {
			delete(tenure.calls, name)
		}
	}
	tenure.poke()
}

// poke asks for a tick soon.
func (tenure *tenure) poke() {
	select {
	case tenure.wake <- struct{}{}:
	default:
	}
}

func (tenure *tenure) tickLoop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-tenure.ctx.Done():
			return
		case <-ticker.C:
		case <-tenure.wake:
		}
		tenure.tick()
		sleep(tenure.ctx, tickSpacing)
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (tenure *tenure) tick() {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for _, effect := range tenure.decider.Tick(time.Now()) {
		tenure.carryOut(effect)
	}
}

// carryOut starts what an effect asks for; the caller holds the lock.
func (tenure *tenure) carryOut(effect decider.Effect) {
	switch effect := effect.(type) {
	case decider.Start:
		tenure.started(effect)
	case decider.Ended:
		tenure.ended(effect)
	case decider.Expired:
		tenure.expired(effect)
	case decider.Stop:
		tenure.wait.Go(func() { tenure.stopTask(effect) })
	}
}

func (tenure *tenure) started(effect decider.Start) {
	tenure.server.record("taskGranted", effect.Work, effect.Grant.Task, effect.Grant.Worker, "")
	if effect.Work.Job != "" {
		tenure.startJobTask(effect)
		return
	}
	if !tenure.reply(effect.Work.ID, PlaceAnswer{Grant: &effect.Grant, Attempt: effect.Work.Attempt}) {
		tenure.decider.Completed(effect.Grant.Task, decider.NeverRan, 0, time.Now())
		tenure.poke()
	}
}

// reply answers who waits for a work, and reports whether anyone did.
func (tenure *tenure) reply(work string, answer PlaceAnswer) bool {
	waiter, waiting := tenure.waiters[work]
	if !waiting {
		return false
	}
	delete(tenure.waiters, work)
	waiter <- answer
	return true
}

func (tenure *tenure) ended(effect decider.Ended) {
	tenure.server.record("taskEnded", effect.Work, effect.Task, effect.Worker, string(effect.Ending))
	tenure.recent[effect.Work.ID] = recentEnd{task: effect.Task, ending: effect.Ending, at: time.Now()}
	for _, resolver := range tenure.resolvers[effect.Task] {
		close(resolver)
	}
	delete(tenure.resolvers, effect.Task)
	if effect.Work.Job != "" {
		tenure.jobTaskEnded(effect)
	} else {
		tenure.decider.Forget(effect.Worker, effect.Task)
	}
	tenure.poke()
}

func (tenure *tenure) expired(effect decider.Expired) {
	tenure.server.record("deadlinePassed", effect.Work, "", "", "")
	if effect.Work.Job != "" {
		tenure.jobTaskExpired(effect.Work)
		return
	}
	tenure.reply(effect.Work.ID, PlaceAnswer{Problem: deadlinePassed()})
}

// stopTask asks the worker until it takes the stop, or the tenure ends.
func (tenure *tenure) stopTask(effect decider.Stop) {
	for tenure.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(tenure.ctx, clientTimeout)
		call := tenure.server.workers.Stop
		if effect.Checkpoint {
			call = tenure.server.workers.Checkpoint
		}
		err := call(ctx, effect.Address, effect.Task, effect.Term)
		cancel()
		if err == nil || starter.ErrFenced.Has(err) {
			tenure.mu.Lock()
			tenure.probe(effect.Worker)
			tenure.mu.Unlock()
			return
		}
		sleep(tenure.ctx, controlRetry)
	}
}

// answer handles the calls that only a decider can answer.
func (tenure *tenure) answer(ctx context.Context, _, method string, body json.RawMessage) (any, error) {
	if !tenure.ready.Load() {
		return nil, errNotDeciding
	}
	switch method {
	case methodPlace:
		return handle(body, func(call PlaceCall) (PlaceAnswer, error) { return tenure.place(ctx, call) })
	case methodWithdraw:
		return handle(body, tenure.withdraw)
	case methodFinish:
		return handle(body, tenure.finish)
	case methodResolve:
		return handle(body, func(call ResolveCall) (ResolveAnswer, error) { return tenure.resolve(ctx, call) })
	case methodTakeKey:
		return handle(body, func(call TakeKeyCall) (KeyAnswer, error) { return tenure.takeKey(ctx, call) })
	case methodEndKey:
		return handle(body, func(call EndKeyCall) (KeyAnswer, error) { return tenure.endKey(ctx, call) })
	case methodSubmitJob:
		return handle(body, func(call SubmitJobCall) (JobAnswer, error) { return tenure.submitJob(ctx, call) })
	case methodJob:
		return handle(body, func(call JobCall) (JobAnswer, error) { return tenure.job(ctx, call) })
	case methodCancelJob:
		return handle(body, func(call JobCall) (JobAnswer, error) { return tenure.cancelJob(ctx, call) })
	case methodStatus:
		return handle(body, func(struct{}) (StatusAnswer, error) { return tenure.status(), nil })
	}
	return nil, Error.New("unknown method %q", method)
}

// expire drops what is past its time.
func (tenure *tenure) expire(now time.Time) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for work, end := range tenure.recent {
		if now.Sub(end.at) > recentKept {
			delete(tenure.recent, work)
		}
	}
	for work, end := range tenure.early {
		if now.Sub(end.at) > recentKept {
			tenure.decider.Forget(end.effect.Worker, end.effect.Task)
			delete(tenure.early, work)
		}
	}
	for id, row := range tenure.keys {
		if row.Expires.Before(now) {
			delete(tenure.keys, id)
		}
	}
	for id, row := range tenure.jobs {
		if row.Finished() && row.Expires.Before(now) {
			delete(tenure.jobs, id)
		}
	}
}
