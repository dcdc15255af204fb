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
	"ebonyshunt.org/library/retrier"
)

// tenure is the state of one term in which this host is the decider of its zone.
type tenure struct {
	server        *Server
	term          fencer.Term
	zone          string
	ready         atomic.Bool   // workers are claimed and records of earlier terms are restored
	tickRequested chan struct{} // requests a tick before the next interval

	mu                  sync.Mutex
	decider             *decider.Decider
	claims              map[string]*claimSchedule   // by worker name
	placeWaiters        map[string]chan PlaceAnswer // by work ID
	endWaiters          map[string][]chan struct{}  // by task ID; closed when the end of the task is known
	recentEnds          map[string]recentEnd        // by work ID
	jobs                map[string]*jobState
	jobBytes            int64                    // memory of the jobs, of the answers as of the latest countMemory
	keyBytes            int64                    // memory of the idempotency keys and their answers
	reservedBytes       int64                    // memory of the jobs that are being accepted
	submissions         map[string]chan struct{} // in progress, by job ID; closed at their end
	unmatchedEnds       map[string]unmatchedEnd  // by work ID; ends of tasks whose jobs are not known yet
	keys                map[string]*keyState
	replicas            map[string]string // incarnations of the peers that have copies of all records, by name
	recordsMayBeMissing bool              // neither this host nor a live host of the zone has the records of earlier terms
	pendingRecord       *limiter.Record   // slice record that was not read back from the log yet; nil if none
	startedAt           time.Time
	keyAuthorityFrom    time.Time // until then, the former decider may still answer for idempotency keys

	cancel     context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup
}

// unmatchedEnd is the end of a job's task that a worker reported before the job of the task was known.
type unmatchedEnd struct {
	effect decider.Ended
	at     time.Time
}

// recentEnd is the end of the last attempt of a work item.
type recentEnd struct {
	task   string
	ending decider.Ending
	at     time.Time
}

const (
	claimTimeout         = 400 * time.Millisecond
	claimInterval        = 12 * time.Second
	minClaimInterval     = 200 * time.Millisecond
	claimScanInterval    = 50 * time.Millisecond
	tickInterval         = 50 * time.Millisecond
	minTickGap           = time.Millisecond
	controlRetryDelay    = 300 * time.Millisecond
	endRetention         = 10 * time.Minute
	resolveTimeout       = 4 * time.Second
	keyAuthorityDuration = 14 * time.Second                         // longer than claimInterval and one retry
	keyAuthorityDelay    = keyAuthorityDuration + 2*maxKeyAnswerAge // after it, the authority of the former decider has expired
	maxKeyAnswerAge      = 500 * time.Millisecond                   // age at which an entry host discards an answer about a key
	clientTimeout        = 2 * time.Second                          // of calls to workers, and of the peer calls for an API request or a hand-back of records
)

func (server *Server) newTenure(term fencer.Term) *tenure {
	tenure := &tenure{
		server:        server,
		term:          term,
		zone:          server.settings.Zone,
		tickRequested: make(chan struct{}, 1),
		decider:       decider.New(decider.DefaultSettings(), term),
		claims:        map[string]*claimSchedule{},
		placeWaiters:  map[string]chan PlaceAnswer{},
		endWaiters:    map[string][]chan struct{}{},
		recentEnds:    map[string]recentEnd{},
		jobs:          map[string]*jobState{},
		submissions:   map[string]chan struct{}{},
		unmatchedEnds: map[string]unmatchedEnd{},
		keys:          map[string]*keyState{},
		replicas:      map[string]string{},
		startedAt:     time.Now(),
	}
	tenure.ctx, tenure.cancel = context.WithCancel(context.Background())
	return tenure
}

func (tenure *tenure) run() {
	tenure.ready.Store(true)
	tenure.goroutines.Go(tenure.tickLoop)
	tenure.goroutines.Go(func() { tenure.server.runEvery(tenure.ctx, replicaInterval, tenure.copyToReplicas) })
	tenure.goroutines.Go(func() { tenure.server.runEvery(tenure.ctx, claimScanInterval, tenure.sendDueClaims) })
	tenure.goroutines.Go(func() { tenure.server.runEvery(tenure.ctx, sliceInterval, tenure.appendSliceRecord) })
}

// close ends the tenure and waits for its goroutines. Callers that wait for a grant get errNotDeciding.
func (tenure *tenure) close() {
	tenure.ready.Store(false)
	tenure.cancel()
	tenure.goroutines.Wait()
}

// refresh updates the decider with the current host list and configuration.
func (tenure *tenure) refresh() {
	workers := tenure.server.zoneWorkers()
	view := tenure.server.viewer.View()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.decider.SetWorkers(workers, time.Now())
	tenure.decider.SetServices(serviceInfos(view))
	tenure.decider.SetTeams(tenure.teamInfos(view))
	for _, worker := range workers {
		if tenure.claims[worker.Name] == nil {
			tenure.claims[worker.Name] = &claimSchedule{}
		}
	}
	for name := range tenure.claims {
		if !slices.ContainsFunc(workers, func(info decider.WorkerInfo) bool { return info.Name == name }) {
			delete(tenure.claims, name)
		}
	}
	tenure.requestTick()
}

// requestTick requests a tick without waiting for the next interval.
func (tenure *tenure) requestTick() {
	select {
	case tenure.tickRequested <- struct{}{}:
	default:
	}
}

func (tenure *tenure) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-tenure.ctx.Done():
			return
		case <-ticker.C:
		case <-tenure.tickRequested:
		}
		tenure.tick()
		retrier.Sleep(tenure.ctx, minTickGap)
	}
}

func (tenure *tenure) tick() {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for _, effect := range tenure.decider.Tick(time.Now()) {
		tenure.applyEffect(effect)
	}
}

// applyEffect acts on an effect of the decider. The caller holds tenure.mu.
func (tenure *tenure) applyEffect(effect decider.Effect) {
	switch effect := effect.(type) {
	case decider.Start:
		tenure.handleStart(effect)
	case decider.Ended:
		tenure.handleEnd(effect)
	case decider.Expired:
		tenure.handleExpiry(effect)
	case decider.Stop:
		tenure.goroutines.Go(func() { tenure.stopTask(effect) })
	}
}

func (tenure *tenure) handleStart(effect decider.Start) {
	tenure.server.recordEvent("taskGranted", effect.Work, effect.Grant.Task, effect.Grant.Worker, "")
	if effect.Work.Job != "" {
		tenure.startJobTask(effect)
		return
	}
	if !tenure.reply(effect.Work.ID, PlaceAnswer{Grant: &effect.Grant, Attempt: effect.Work.Attempt}) {
		tenure.decider.EndAttempt(effect.Grant.Task, decider.NeverRan, 0, time.Now())
		tenure.requestTick()
	}
}

// reply sends the answer to the caller that waits for a work item, and reports whether there is one.
func (tenure *tenure) reply(work string, answer PlaceAnswer) bool {
	waiter, waiting := tenure.placeWaiters[work]
	if !waiting {
		return false
	}
	delete(tenure.placeWaiters, work)
	waiter <- answer
	return true
}

func (tenure *tenure) handleEnd(effect decider.Ended) {
	tenure.server.recordEvent("taskEnded", effect.Work, effect.Task, effect.Worker, string(effect.Ending))
	tenure.recentEnds[effect.Work.ID] = recentEnd{task: effect.Task, ending: effect.Ending, at: time.Now()}
	for _, waiter := range tenure.endWaiters[effect.Task] {
		close(waiter)
	}
	delete(tenure.endWaiters, effect.Task)
	if effect.Work.Job != "" {
		tenure.handleJobTaskEnd(effect)
	} else {
		tenure.decider.ForgetEnded(effect.Worker, effect.Task)
	}
	tenure.requestTick()
}

func (tenure *tenure) handleExpiry(effect decider.Expired) {
	tenure.server.recordEvent("deadlinePassed", effect.Work, "", "", "")
	if effect.Work.Job != "" {
		tenure.handleJobTaskExpiry(effect.Work)
		return
	}
	tenure.reply(effect.Work.ID, PlaceAnswer{Problem: deadlineProblem()})
}

// stopTask sends the stop or checkpoint call to the worker until it succeeds, the worker does not know the task or refuses
// the call because of a later term, or the tenure ends.
func (tenure *tenure) stopTask(effect decider.Stop) {
	for tenure.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(tenure.ctx, clientTimeout)
		call := tenure.server.workerClient.Stop
		if effect.Checkpoint {
			call = tenure.server.workerClient.Checkpoint
		}
		err := call(ctx, effect.Address, effect.Task, effect.Term)
		cancel()
		if err == nil || starter.ErrFenced.Has(err) || starter.ErrNoTask.Has(err) {
			tenure.mu.Lock()
			tenure.expediteClaim(effect.Worker)
			tenure.mu.Unlock()
			return
		}
		retrier.Sleep(tenure.ctx, controlRetryDelay)
	}
}

// handleCall handles the methods that only a decider serves.
func (tenure *tenure) handleCall(ctx context.Context, _, method string, body json.RawMessage) (any, error) {
	if !tenure.ready.Load() {
		return nil, errNotDeciding
	}
	switch method {
	case methodPlace:
		return decodeAndCall(body, func(call PlaceCall) (PlaceAnswer, error) { return tenure.place(ctx, call) })
	case methodWithdraw:
		return decodeAndCall(body, tenure.withdraw)
	case methodFinish:
		return decodeAndCall(body, tenure.finish)
	case methodResolve:
		return decodeAndCall(body, func(call ResolveCall) (ResolveAnswer, error) { return tenure.resolve(ctx, call) })
	case methodTakeKey:
		return decodeAndCall(body, func(call TakeKeyCall) (KeyAnswer, error) { return tenure.takeKey(ctx, call) })
	case methodEndKey:
		return decodeAndCall(body, func(call EndKeyCall) (KeyAnswer, error) { return tenure.endKey(ctx, call) })
	case methodSubmitJob:
		return decodeAndCall(body, func(call SubmitJobCall) (JobAnswer, error) { return tenure.submitJob(ctx, call) })
	case methodJob:
		return decodeAndCall(body, func(call JobCall) (JobAnswer, error) { return tenure.job(ctx, call) })
	case methodCancelJob:
		return decodeAndCall(body, func(call JobCall) (JobAnswer, error) { return tenure.cancelJob(ctx, call) })
	case methodStatus:
		return decodeAndCall(body, func(struct{}) (StatusAnswer, error) { return tenure.status(), nil })
	}
	return nil, Error.New("unknown method %q", method)
}

// removeExpired removes expired ends, keys and finished jobs.
func (tenure *tenure) removeExpired(now time.Time) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for work, end := range tenure.recentEnds {
		if now.Sub(end.at) > endRetention {
			delete(tenure.recentEnds, work)
		}
	}
	for work, end := range tenure.unmatchedEnds {
		if now.Sub(end.at) > endRetention {
			tenure.decider.ForgetEnded(end.effect.Worker, end.effect.Task)
			delete(tenure.unmatchedEnds, work)
		}
	}
	for id, state := range tenure.keys {
		if state.Expires.Before(now) {
			tenure.removeKey(id)
		}
	}
	for id, job := range tenure.jobs {
		if job.Finished() && job.Expires.Before(now) {
			delete(tenure.jobs, id)
		}
	}
	tenure.countMemory()
}
