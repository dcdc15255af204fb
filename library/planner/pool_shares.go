package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/accountant"
	"ebonyshunt.org/library/divider"
	"ebonyshunt.org/library/placer"
	"ebonyshunt.org/library/sizer"
)

const (
	// giveBackDelayFactor is the part of a queue's target latency after which a blocked step gets room back. The other part is
	// for the stops and starts that this takes.
	giveBackDelayFactor = 0.5
	// maxGiveBackDelay bounds that time for queues whose target latency is long.
	maxGiveBackDelay = 2 * time.Second
	// giveBackRate limits what is given back of a service, as a dominant share of its capacity per second. At this rate a
	// whole service changes hands in 5 s.
	giveBackRate = 0.2
	// giveBackInterval is the minimum time between two searches of a service for runs to stop.
	giveBackInterval = 100 * time.Millisecond
	// maxFutileSearches limits the searches of a service in one pass that find nothing to stop, and futileSearchInterval is the
	// minimum time until such a step is tried again, so that a step that cannot use the room does not keep others from it.
	maxFutileSearches    = 2
	futileSearchInterval = time.Second
	// promiseTime is how long a worker is kept for a step after the request to stop runs there, if they do not end.
	promiseTime = 2 * time.Second
)

// servicePool is what the teams' shares of a service are computed from.
type servicePool struct {
	accountant.Service
	service     string
	accounts    map[string]*account
	dividedPass [accountant.Classes]int64 // number of the pass in which the class was last divided
	searchedAt  time.Time                 // when runs were last stopped
	futile      int                       // number of searches in this pass that found nothing to stop
	budget      float64                   // dominant share that may be given back now
	promises    []promise
}

// account is a team's use of a service.
type account struct {
	accountant.Account
	pool      *servicePool
	promised  float64  // dominant share of the room that is being given back to the team
	perWeight float64  // present and recent use per weight in the round that is being ordered
	ordered   []ranked // steps of the round that is being ordered
}

// stepAccount is the account that a step's tasks are charged to.
type stepAccount struct {
	*account
	class   int
	catalog *Catalog // configuration that it was found in
}

// promise is a worker whose room is given back to a step once runs there have ended.
type promise struct {
	step   *step
	worker *Worker
	stops  []*Run
	until  time.Time
}

// GiveBack is a run that is stopped to give room back to a team below its share.
type GiveBack struct {
	Task          TaskKey
	Number        int
	Worker        string
	Service       string
	Team          string        // team of the run
	Used          float64       // dominant share of the service that the team used before
	Share         float64       // dominant share that the team is entitled to
	Unsaved       time.Duration // time that the run has worked since its last known checkpoint
	Receiver      StepKey       // blocked step
	ReceiverTeam  string
	ReceiverUsed  float64
	ReceiverShare float64
	Waited        time.Duration // time for which the step was blocked
}

// TeamShare is a team's share of a service. Shares are dominant shares of the service's capacity.
type TeamShare struct {
	Service string
	Team    string
	Share   float64 // share that the team should have now
	Used    float64
	Size    sizer.Size // total size of the team's runs
}

// accountOf returns the account that a step is charged to.
func (planner *Planner) accountOf(step *step) stepAccount {
	if step.charged.account != nil && step.charged.catalog == planner.catalog {
		return step.charged
	}
	queue, _ := planner.catalog.Queue(step.job.Queue)
	pool := planner.servicePools[queue.Service]
	if pool == nil {
		pool = &servicePool{Service: accountant.NewService(planner.now), service: queue.Service, accounts: map[string]*account{}}
		planner.servicePools[queue.Service] = pool
	}
	charged := pool.accounts[step.job.Team]
	if charged == nil {
		charged = &account{Account: accountant.Account{Team: step.job.Team}, pool: pool}
		pool.accounts[charged.Team] = charged
		pool.Add(&charged.Account)
	}
	class := accountant.ClassOf(queue.Priority)
	if step.Standing {
		class = 0
	}
	step.charged = stepAccount{account: charged, class: class, catalog: planner.catalog}
	return step.charged
}

// charge charges a run to the account of its step.
func (planner *Planner) charge(step *step, run *Run) {
	run.charged = planner.accountOf(step)
	run.yields = step.Checkpoints && !step.Standing && !step.Gang
	run.savedAt = run.OrderedAt
	run.charged.Used.Add(run.charged.class, run.Size)
	if step.tasks[run.Key.Index].run == run { // it is no copy
		run.charged.Waiting.Sub(run.charged.class, run.Size)
	}
}

// discharge undoes charge.
func (run *Run) discharge() {
	if run.charged.account != nil {
		run.charged.Used.Sub(run.charged.class, run.Size)
		if run.Stopping {
			run.charged.Stopping.Sub(run.charged.class, run.Size)
		}
	}
}

// chargeStop counts a run that is going to be stopped.
func (run *Run) chargeStop() {
	if run.charged.account != nil && !run.Stopping {
		run.charged.Stopping.Add(run.charged.class, run.Size)
	}
}

// updatePools brings the accounts of all services up to date for a pass over the given steps.
func (planner *Planner) updatePools(all []ranked, now time.Time) {
	for _, pool := range planner.servicePools {
		pool.update(now)
	}
	for _, ranked := range all {
		charged, size := planner.accountOf(ranked.step), ranked.step.chargedSize()
		charged.Waiting.Add(charged.class, size.Mul(int64(len(ranked.step.waiting))))
	}
	for _, worker := range planner.workerList {
		if !planner.drainedZones[worker.Zone] {
			continue
		}
		for _, run := range worker.Runs {
			if run.charged.account != nil {
				run.charged.Drained.Add(run.charged.class, run.Size)
			}
		}
	}
	planner.updateCapacities(now)
}

// updateCapacities computes the capacities of the services. A worker that can take no runs counts only while it has some.
func (planner *Planner) updateCapacities(now time.Time) {
	for _, pool := range planner.servicePools {
		pool.Capacity = sizer.Size{}
	}
	var pool *servicePool
	for _, worker := range planner.workerList {
		if !worker.Listed || planner.drainedZones[worker.Zone] || len(worker.Runs) == 0 && (worker.Draining || !planner.acceptsRuns(worker, now)) {
			continue
		}
		if pool == nil || pool.service != worker.Service {
			if pool = planner.servicePools[worker.Service]; pool == nil {
				continue
			}
		}
		pool.Capacity = pool.Capacity.Add(worker.Capacity)
	}
}

// update adds the time since the last pass to the recent use, and forgets what the last pass found.
func (servicePool *servicePool) update(now time.Time) {
	elapsed := servicePool.Advance(now)
	servicePool.futile = 0
	servicePool.budget = min(servicePool.budget+giveBackRate*max(elapsed, 0).Seconds(), giveBackRate)
	for _, account := range servicePool.accounts {
		account.promised = 0
	}
	for _, promise := range servicePool.promises {
		promise.step.promised = 0
	}
	servicePool.promises = slices.DeleteFunc(servicePool.promises, func(promise promise) bool { return !promise.open(now) })
	for _, promise := range servicePool.promises {
		promise.count()
	}
}

// open reports whether the room that a promise is about is not free yet, and the step still waits for it.
func (promise promise) open(now time.Time) bool {
	return now.Before(promise.until) && len(promise.step.waiting) > 0 && slices.ContainsFunc(promise.stops, func(run *Run) bool {
		return promise.worker.Runs[run.Key] == run
	})
}

// count counts a promise for its step and team.
func (promise promise) count() {
	account := promise.step.charged.account
	promise.step.promised++
	account.promised += promise.step.chargedSize().DominantShare(account.pool.Capacity)
}

// teamShare returns the team's share of its service in a class and those before it.
func (planner *Planner) teamShare(account *account, class int) divider.Share {
	if account.pool.dividedPass[class] != planner.passCount {
		account.pool.dividedPass[class] = planner.passCount
		account.pool.Divide(class, planner.termsOf)
	}
	return account.Share(class)
}

// termsOf returns the terms of a team: its weight, and what its cap leaves for a service beside its use of all others.
func (planner *Planner) termsOf(account *accountant.Account) accountant.Terms {
	return accountant.Terms{Weight: planner.weight(account.Team), Cap: planner.capLeft(account)}
}

// capLeft returns what a team's cap leaves for a service beside its use of all others.
func (planner *Planner) capLeft(account *accountant.Account) sizer.Size {
	limit := planner.catalog.Teams[account.Team].Cap
	if limit.Zero() {
		return limit
	}
	elsewhere := planner.ensureTeam(account.Team).used.Sub(account.Used[accountant.Classes-1])
	left := limit.Sub(elsewhere).Max(sizer.Size{MilliCores: 1, MemoryMB: 1, Accelerators: 1})
	return left.Min(limit) // a resource without limit stays at 0
}

// belowPoolShare reports whether a step's team may start one more task, or the gang, within its share. A team whose tasks are
// larger than what is left of its share may exceed it by one as long as its recent use is below the share that it is entitled
// to over time: otherwise it would get nothing while others wait.
func (pass *pass) belowPoolShare(step *step) bool {
	charged := pass.planner.accountOf(step)
	limit, size := pass.planner.teamShare(charged.account, charged.class), step.chargedSize()
	if step.Gang {
		size = size.Mul(int64(step.Count))
	}
	used := charged.InUse(charged.class)
	if used.Add(size).DominantShare(charged.pool.Capacity) <= limit.Now+shareTolerance {
		return true
	}
	return used.DominantShare(charged.pool.Capacity) < limit.Now-shareTolerance && charged.Recent(charged.class) < limit.Entitled
}

// shareTolerance allows for rounding.
const shareTolerance = 1e-9

// ordered returns the steps of a round in the order in which they are placed. If the round limits teams to their shares of a
// service, the steps of the team that uses and used the least per weight come first: the tasks of a team with a long queue have
// the earliest deadlines, and would take all room that becomes free while each team is below its share.
func (pass *pass) ordered(round []ranked) []ranked {
	if !pass.limitShares || !pass.planner.Settings.PoolShares {
		return round
	}
	var accounts []*account
	for _, ranked := range round {
		account := pass.planner.accountOf(ranked.step).account
		if len(account.ordered) == 0 {
			accounts = append(accounts, account)
			class := ranked.step.charged.class
			account.perWeight = (account.UsedShare(class) + account.Recent(class)) / pass.planner.weight(account.Team)
		}
		account.ordered = append(account.ordered, ranked)
	}
	slices.SortStableFunc(accounts, func(a, b *account) int { return cmp.Compare(a.perWeight, b.perWeight) })
	ordered := make([]ranked, 0, len(round))
	for _, account := range accounts {
		ordered = append(ordered, account.ordered...)
		account.ordered = account.ordered[:0]
	}
	return ordered
}

// giveBack stops runs of teams above their shares for a step that is blocked although its team is below its share, and
// keeps the workers of these runs for the step.
func (pass *pass) giveBack(step *step, queue Queue, waited time.Duration) {
	charged := pass.planner.accountOf(step)
	pass.keepPromises(step)
	if pass.tier != tierRegular || step.Gang || waited < giveBackDelay(queue) {
		return
	}
	if step.sortWaiting(); step.suspicion(step.waiting[0]) > 0 {
		return // suspects wait for workers of their own
	}
	pool := charged.pool
	if pass.now.Sub(pool.searchedAt) < giveBackInterval || pool.budget <= 0 || pool.futile >= maxFutileSearches ||
		pass.now.Sub(step.futileAt) < futileSearchInterval || !pass.mayReceive(step) {
		return
	}
	if pass.stopFor(step, queue, waited) {
		pool.searchedAt = pass.now
	} else {
		pool.futile++
		step.futileAt = pass.now
	}
}

// stopFor stops runs for a step as far as the step may receive room and the rate allows it, and reports whether it stopped any.
func (pass *pass) stopFor(step *step, queue Queue, waited time.Duration) bool {
	stopped := false
	for _, option := range pass.options(step, queue) {
		if step.charged.pool.budget <= 0 || !pass.mayReceive(step) {
			break
		}
		if pass.reserved[option.worker.ID] || !pass.planner.mayGive(option.runs) {
			continue
		}
		pass.take(step, option, waited)
		stopped = true
	}
	return stopped
}

// giveBackDelay returns how long a step of a queue has to be blocked before it gets room back.
func giveBackDelay(queue Queue) time.Duration {
	delay := time.Duration(giveBackDelayFactor * float64(queue.TargetLatency))
	return min(max(delay, preemptDelay), maxGiveBackDelay)
}

// mayReceive reports whether a step may get room for one more task back: its team is below its entitled share, counting
// what is being given back, and the cap allows it.
func (pass *pass) mayReceive(step *step) bool {
	charged := pass.planner.accountOf(step)
	return step.promised < len(step.waiting) && pass.planner.withinCap(step.job.Team, step.Step, int64(step.promised+1)) &&
		charged.UsedShare(charged.class)+charged.promised < pass.planner.teamShare(charged.account, charged.class).Entitled
}

// keepPromises reserves the workers whose room is being given back to a step.
func (pass *pass) keepPromises(step *step) {
	if step.promised == 0 {
		return
	}
	for _, promise := range step.charged.pool.promises {
		if promise.step == step {
			pass.reserved[promise.worker.ID] = true
		}
	}
}

// option is a worker on which stopping runs makes room for one task.
type option struct {
	worker *Worker
	runs   []*Run
	loss   float64 // work that is lost: seconds since the last checkpoints, times the dominant shares of the runs
}

// options returns the workers on which runs of teams above their shares can be stopped for a step, those that lose the
// least work first.
func (pass *pass) options(step *step, queue Queue) []option {
	var options []option
	for _, worker := range pass.pool(queue.Service).workers {
		if !pass.reservable(step, queue, worker) || pass.disturbedOn(step, worker) {
			continue
		}
		if option, found := pass.optionOn(worker, step, queue); found {
			options = append(options, option)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.loss, b.loss) })
	return options
}

// optionOn returns the runs on a worker to stop for a task of a step, see placer.LeastLoss.
func (pass *pass) optionOn(worker *Worker, step *step, queue Queue) (option, bool) {
	needed, free := step.chargedSize(), worker.Free()
	var runs []placer.Run[*Run]
	for _, run := range worker.Runs {
		if run.Stopping {
			free = free.Add(run.Size)
		} else if pass.planner.yieldsTo(run, step, queue) {
			runs = append(runs, placer.Run[*Run]{Run: run, Size: run.Size, Loss: pass.lossOf(run)})
		}
	}
	if needed.Fits(free) {
		return option{}, false // room is being made already
	}
	slices.SortFunc(runs, func(a, b placer.Run[*Run]) int { return a.Run.Key.compare(b.Run.Key) })
	stopped, loss, found := placer.LeastLoss(runs, needed, free)
	return option{worker: worker, runs: stopped, loss: loss}, found
}

// lossOf returns the work that a run loses if it is stopped now.
func (pass *pass) lossOf(run *Run) float64 {
	return pass.now.Sub(run.savedAt).Seconds() * run.Size.DominantShare(run.charged.pool.Capacity)
}

// yieldsTo reports whether a run may be stopped for a step: it has checkpoints, is neither standing nor in a gang, has the
// same or lower priority, belongs to another team, which is above its share, and is not expected to end within the time that
// the callers of the step's queue allow for.
func (planner *Planner) yieldsTo(run *Run, step *step, queue Queue) bool {
	charged := run.charged
	if !run.yields || !run.Confirmed || charged.account == nil || charged.class < step.charged.class || charged.account == step.charged.account || charged.pool != step.charged.pool {
		return false
	}
	return planner.teamShare(charged.account, charged.class).GiveBack > 0 && planner.expectedRest(run) > queue.TargetLatency
}

// expectedRest returns how much longer a run is expected to take. One that has taken longer than expected is expected to
// take as long again as it is over.
func (planner *Planner) expectedRest(run *Run) time.Duration {
	step := planner.steps[run.Key.step()]
	if step == nil {
		return 0
	}
	return (planner.expectedRunTime(step.Step, step.job.Queue) - planner.now.Sub(run.OrderedAt)).Abs()
}

// mayGive reports whether stopping runs leaves each of their teams at its entitled share or above. Other runs that are being
// stopped count as gone.
func (planner *Planner) mayGive(runs []*Run) bool {
	for _, run := range runs {
		charged := run.charged
		left := charged.InUse(charged.class).Sub(charged.Stopping[charged.class])
		for _, other := range runs {
			if other.charged.account == charged.account && other.charged.class <= charged.class {
				left = left.Sub(other.Size)
			}
		}
		if run.Stopping || left.DominantShare(charged.pool.Capacity) < planner.teamShare(charged.account, charged.class).Entitled {
			return false
		}
	}
	return true
}

// take stops the runs of an option and keeps its worker for the step.
func (pass *pass) take(step *step, option option, waited time.Duration) {
	planner, receiver := pass.planner, step.charged
	pool := receiver.pool
	for _, run := range option.runs {
		giver := run.charged
		planner.giveBacks = append(planner.giveBacks, GiveBack{
			Task: run.Key, Number: run.Number, Worker: run.Worker, Service: pool.service, Team: giver.Team,
			Used: giver.UsedShare(giver.class), Share: planner.teamShare(giver.account, giver.class).Entitled, Unsaved: pass.now.Sub(run.savedAt),
			Receiver: step.key, ReceiverTeam: receiver.Team, ReceiverUsed: receiver.UsedShare(receiver.class),
			ReceiverShare: planner.teamShare(receiver.account, receiver.class).Entitled, Waited: waited,
		})
		pool.budget -= run.Size.DominantShare(pool.Capacity)
		planner.stopRun(run, pass.now)
	}
	pass.reserved[option.worker.ID] = true
	kept := promise{step: step, worker: option.worker, stops: option.runs, until: pass.now.Add(promiseTime)}
	pool.promises = append(pool.promises, kept)
	kept.count()
}

// Shares returns the teams' shares of the services as of the last pass, the largest of share and use first, at most limit of
// them. It is empty unless Settings.PoolShares is set.
func (planner *Planner) Shares(limit int) []TeamShare {
	const all = accountant.Classes - 1
	var rows []TeamShare
	for _, service := range slices.Sorted(maps.Keys(planner.servicePools)) {
		pool := planner.servicePools[service]
		for _, team := range slices.Sorted(maps.Keys(pool.accounts)) {
			account := pool.accounts[team]
			share := TeamShare{
				Service: service, Team: team, Used: account.UsedShare(all), Share: planner.teamShare(account, all).Now,
				Size: account.Used[all],
			}
			if share.Used > 0 || share.Share > 0 {
				rows = append(rows, share)
			}
		}
	}
	slices.SortStableFunc(rows, func(a, b TeamShare) int { return cmp.Compare(max(b.Share, b.Used), max(a.Share, a.Used)) })
	return rows[:min(limit, len(rows))]
}
