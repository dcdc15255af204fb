package server

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/limiter"
	"ebonyshunt.org/library/recorder"
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

// claimCall paces the claims of one worker.
type claimCall struct {
	due    time.Time
	owned  time.Time // when the last claim that the worker confirmed was sent
	flying bool
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

// zoneWorkers returns the listed workers of this host's zone.
func (server *Server) zoneWorkers() []decider.WorkerInfo {
	view := server.viewer.View()
	var infos []decider.WorkerInfo
	for _, host := range server.listed() {
		if host.Kind != lister.KindWorker || host.Zone != server.settings.Zone {
			continue
		}
		infos = append(infos, decider.WorkerInfo{
			Name:     host.Name,
			Address:  host.Address,
			Rack:     host.Rack,
			Capacity: host.Capacity,
			Leaving:  host.Leaving || view.Upstreams[host.Name].Drain,
		})
	}
	return infos
}

// begin claims the zone's workers under a new term and starts to decide, unless a later term shows up.
func (server *Server) begin(ctx context.Context) {
	zone := server.settings.Zone
	former := server.peers.Term(zone)
	term := former.Next(server.settings.Host)
	server.peers.See(zone, term)
	tenure := server.newTenure(term)
	if !server.surelyGone(former) {
		tenure.keysFrom = time.Now().Add(authorityWait)
	}
	tenure.refresh()
	tenure.claimAll(ctx)
	if server.peers.Term(zone) != term || server.leaving.Load() || !tenure.anyClaimed() {
		tenure.close()
		return
	}
	tenure.tick()
	tenure.gather(ctx)
	server.mu.Lock()
	server.tenure = tenure
	server.mu.Unlock()
	tenure.run()
	server.log.Info("term begun", "term", term.String())
	server.Timeline.Record(recorder.Event{Kind: "termBegun", Detail: term.String()})
	server.wait.Go(func() { server.beatAll(ctx) })
}

// surelyGone reports whether the process that held a term cannot act under it any more.
func (server *Server) surelyGone(former fencer.Term) bool {
	if former.Zero() || former.Holder == server.settings.Host {
		return true
	}
	for _, peer := range server.peers.Known() {
		if peer.Name == former.Holder {
			return peer.Gone || peer.Leaving
		}
	}
	return false
}

func (tenure *tenure) anyClaimed() bool {
	for _, worker := range tenure.rows() {
		if worker.Claimed {
			return true
		}
	}
	return false
}

// rows returns copies of the worker rows.
func (tenure *tenure) rows() []decider.Worker {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.decider.Workers()
}

// authority reports whether this tenure alone answers for the zone's keys: most workers confirmed its
// term a short while ago, and the authority of a former decider has run out.
func (tenure *tenure) authority(now time.Time) bool {
	if now.Before(tenure.keysFrom) {
		return false
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	confirmed := 0
	for _, call := range tenure.calls {
		if now.Sub(call.owned) < authoritySpan {
			confirmed++
		}
	}
	return 2*confirmed > len(tenure.calls)
}

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
	case decider.Probe:
		tenure.probe(effect.Worker)
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

// probe makes the worker's next claim due now; the caller holds the lock.
func (tenure *tenure) probe(worker string) {
	if call := tenure.calls[worker]; call != nil {
		call.due = time.Time{}
	}
}

// claimAll claims every worker once and waits for the answers.
func (tenure *tenure) claimAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, worker := range tenure.rows() {
		wait.Go(func() { tenure.claim(ctx, worker.Name) })
	}
	wait.Wait()
}

// claimDue renews the claims that are due.
func (tenure *tenure) claimDue(ctx context.Context) {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for name, call := range tenure.calls {
		if call.flying || now.Before(call.due) {
			continue
		}
		call.flying = true
		tenure.wait.Go(func() {
			tenure.claim(ctx, name)
			tenure.reschedule(name)
		})
	}
}

// reschedule sets when a worker is asked next: soon where an end is expected there, else at the pace
// that keeps its leases.
func (tenure *tenure) reschedule(name string) {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	call := tenure.calls[name]
	if call == nil {
		return
	}
	call.flying = false
	call.due = now.Add(claimEvery)
	next, found := tenure.decider.NextEnd(name, now)
	if found {
		call.due = now.Add(min(claimEvery, max(soonestClaim, next.Sub(now))))
	}
}

// claim asks one worker for ownership and its changes, and takes in its report.
func (tenure *tenure) claim(ctx context.Context, name string) {
	sent := time.Now()
	tenure.mu.Lock()
	next, found := tenure.decider.NextClaim(name, sent)
	tenure.mu.Unlock()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := starter.Claim{Term: tenure.term, Since: next.Since, Boot: next.Boot, Lease: next.Lease, Forget: next.Forget}
	report, err := tenure.server.workers.Claim(ctx, next.Address, claim)
	if starter.ErrFenced.Has(err) {
		tenure.server.peers.See(tenure.zone, report.Term)
		return
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			tenure.server.log.Debug("worker not claimed", "worker", name, "error", err)
		}
		return
	}
	if report.Worker != name {
		tenure.server.log.Warn("another worker answers under the address", "worker", name, "found", report.Worker)
		return
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.decider.Reported(name, convert(report), time.Now())
	if call := tenure.calls[name]; call != nil && report.Term == tenure.term {
		call.owned = sent
	}
	tenure.poke()
}

// convert translates a worker's report into the decider's words.
func convert(report starter.Report) decider.Report {
	converted := decider.Report{
		Boot:     report.Boot,
		Clock:    report.Clock,
		Term:     report.Term,
		Sequence: report.Sequence,
		Whole:    report.Whole,
	}
	for _, task := range report.Tasks {
		converted.Tasks = append(converted.Tasks, decider.Reported{
			ID:         task.ID,
			Label:      task.Label,
			Size:       task.Size,
			Running:    task.State == starter.Running,
			Ending:     endings[task.State],
			Status:     task.Status,
			Checkpoint: task.Checkpoint,
		})
	}
	return converted
}

var endings = map[starter.TaskState]decider.Ending{
	starter.Done:    decider.Completed,
	starter.Failed:  decider.Failed,
	starter.Stopped: decider.Stopped,
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
		if row.expires.Before(now) {
			delete(tenure.keys, id)
		}
	}
	for id, row := range tenure.jobs {
		if row.Finished() && row.expires.Before(now) {
			delete(tenure.jobs, id)
		}
	}
}
