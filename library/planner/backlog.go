package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/forecaster"
	"ebonyshunt.org/library/sizer"
)

const (
	// backlogInterval is the minimum time between two rebuilds of the backlog. It is below the shortest objective, and spreads
	// the cost of a rebuild over several plans.
	backlogInterval = 200 * time.Millisecond
	// maxFullChecks is the number of steps of a pool that a rebuild compares with the room. A step may also wait for the policy,
	// which says nothing about the room.
	maxFullChecks = 4
)

// admission is the part of the planner's tables that forecasts are computed from.
type admission struct {
	builtAt time.Time // time of the last rebuild
	pools   map[string]*poolLoad
	teams   map[string]*teamLoad
	entries []backlogEntry // of the last rebuild, kept for its memory
	recent  []backlogEntry // of the jobs that were accepted after the last rebuild
	means   map[string]*meanRunTime
	rosters map[string]*roster
}

// backlogEntry is the work of a step that has not started.
type backlogEntry struct {
	rank    rank
	service string
	team    string
	work    forecaster.Work
}

// teamLoad is the load of a team in all pools.
type teamLoad struct {
	running forecaster.Running
	waiting forecaster.Ranked[rank]
}

// meanRunTime is a moving average of the run times in a queue.
type meanRunTime struct{ seconds float64 }

func newAdmission() admission {
	return admission{pools: map[string]*poolLoad{}, teams: map[string]*teamLoad{}, means: map[string]*meanRunTime{}, rosters: map[string]*roster{}}
}

func (admission *admission) team(name string) *teamLoad {
	found := admission.teams[name]
	if found == nil {
		found = &teamLoad{}
		admission.teams[name] = found
	}
	return found
}

// poolOf returns the load of the service of a queue, and the queue. The load is nil if there is none or forecasts are off.
func (planner *Planner) poolOf(name string) (*poolLoad, Queue) {
	if !planner.Settings.ForecastAdmission {
		return nil, Queue{}
	}
	queue, found := planner.catalog.Queue(name)
	if !found {
		return nil, Queue{}
	}
	return planner.admission.pools[queue.Service], queue
}

// rebuildBacklog rebuilds the backlog from the tables after a placement pass over the given steps, at most once per
// backlogInterval.
func (planner *Planner) rebuildBacklog(all []ranked, now time.Time) {
	admission := &planner.admission
	elapsed := now.Sub(admission.builtAt)
	if !planner.Settings.ForecastAdmission || elapsed < backlogInterval {
		return
	}
	admission.builtAt = now
	admission.entries, admission.recent = admission.entries[:0], admission.recent[:0]
	for _, pool := range admission.pools {
		pool.reset(min(elapsed, time.Minute).Seconds())
	}
	for _, team := range admission.teams {
		team.running = forecaster.Running{}
		team.waiting.Clear()
	}
	planner.addWorkers(now)
	for _, ranked := range all {
		planner.addWaiting(ranked)
	}
	for _, step := range planner.steps {
		if pool, queue := planner.poolOf(step.job.Queue); pool != nil {
			planner.addStep(pool, step, queue, now)
		}
	}
	slices.SortFunc(admission.entries, func(a, b backlogEntry) int { return a.rank.Compare(b.rank) })
	for index := range admission.entries {
		entry := &admission.entries[index]
		pool := admission.pools[entry.service]
		pool.waiting.Add(entry.rank, entry.work)
		pool.team(entry.team).Add(entry.rank, entry.work)
		admission.team(entry.team).waiting.Add(entry.rank, entry.work)
	}
	for _, pool := range admission.pools {
		pool.measure(now)
	}
}

// addWorkers adds the workers to the loads of their pools.
func (planner *Planner) addWorkers(now time.Time) {
	for _, worker := range planner.workerList {
		if !worker.Listed || worker.Draining || planner.drainedZones[worker.Zone] {
			continue
		}
		pool := planner.admission.pools[worker.Service]
		if pool == nil {
			pool = &poolLoad{fill: 1, teams: map[string]*forecaster.Ranked[rank]{}, active: map[string]bool{}, levels: map[level]*levelLoad{}}
			planner.admission.pools[worker.Service] = pool
		}
		pool.capacity, pool.largest = pool.capacity.Add(worker.Capacity), pool.largest.Max(worker.Capacity)
		if pool.knownSince.IsZero() && worker.RunsKnown {
			pool.knownSince = now
		}
		if planner.acceptsRuns(worker, now) {
			pool.free = append(pool.free, worker.Free().Max(sizer.Size{}))
		}
	}
}

// addWaiting adds the waiting tasks of a step to the backlog, unless they fit on no worker.
func (planner *Planner) addWaiting(ranked ranked) {
	step := ranked.step
	pool, queue := planner.poolOf(step.job.Queue)
	if pool == nil || step.Standing || len(step.waiting) == 0 || !step.chargedSize().Fits(pool.largest) {
		return
	}
	work := forecaster.Of(step.chargedSize(), len(step.waiting), planner.backlogRunTime(step.Step, queue.Name))
	planner.admission.entries = append(planner.admission.entries, backlogEntry{ranked.rank, queue.Service, step.job.Team, work})
	if !pool.full && pool.fullChecks < maxFullChecks && !step.blockedSince.IsZero() {
		pool.fullChecks++
		pool.full = !forecaster.Fits(pool.free, []forecaster.Tasks{{Size: step.chargedSize(), Count: len(step.waiting)}})
	}
}

// addStep adds the runs of a step, and the work that follows it, to the loads of its pool and team.
func (planner *Planner) addStep(pool *poolLoad, step *step, queue Queue, now time.Time) {
	name := step.job.Team
	if !pool.active[name] {
		pool.active[name] = true
		pool.activeWeight += planner.weight(name)
		pool.capped = pool.capped || !planner.catalog.Teams[name].Cap.Zero()
	}
	if work := planner.followingWork(step, queue.Name); work != (forecaster.Work{}) {
		planner.admission.entries = append(planner.admission.entries, backlogEntry{planner.rankOf(step, now), queue.Service, name, work})
	}
	if step.openCount == 0 {
		return
	}
	var running forecaster.Running
	runTime := planner.backlogRunTime(step.Step, queue.Name)
	for index, left := 0, step.openCount; left > 0 && index < len(step.tasks); index++ {
		for _, run := range [...]*Run{step.tasks[index].run, step.tasks[index].copy} {
			if run != nil {
				left--
				if step.Standing {
					running.AddStanding(run.Size)
					continue
				}
				running.Add(run.Size, runTime, now.Sub(run.OrderedAt))
			}
		}
	}
	pool.running.Merge(&running)
	planner.admission.team(name).running.Merge(&running)
	if step.Checkpoints && !step.Gang && queue.Priority > 0 {
		pool.preemptible.Merge(&running)
	}
}

// followingWork returns the work of the steps of an occurrence that are not active yet. It is counted with the first active step
// that is not completed.
func (planner *Planner) followingWork(step *step, queue string) forecaster.Work {
	var work forecaster.Work
	steps := step.occurrence.steps
	if len(steps) == 1 || step.job.state.Final() {
		return work
	}
	for _, other := range steps {
		if other.active && other.completedTasks < other.Count {
			if other != step {
				return work
			}
			break
		}
	}
	for _, other := range steps {
		if !other.active && !other.Standing {
			work = work.Add(forecaster.Of(other.chargedSize(), other.Count, planner.backlogRunTime(other.Step, queue)))
		}
	}
	return work
}

// backlog returns the work ahead of a job of a rank.
func (planner *Planner) backlog(job *Job, service string, limit rank, now time.Time) forecaster.Backlog {
	pool := planner.admission.pools[service]
	current := pool.level(limit.level())
	backlog := forecaster.Backlog{
		Capacity: pool.capacity, Free: pool.free, Rate: pool.rate(), Running: pool.running.Left, RunTime: pool.running.RunTime(),
		Promised: max(current.promisedUntil.Sub(now), 0), Share: planner.poolShare(pool, job.Team),
		Pressed: !current.pressedAt.IsZero() && now.Sub(current.pressedAt) < forecaster.PressureTime,
	}
	if !pool.knownSince.IsZero() {
		backlog.Observed = now.Sub(pool.knownSince)
	}
	if limit.priority == 0 {
		backlog.Running = backlog.Running.Sub(pool.preemptible.Left)
	}
	accepted := 0.0
	for other, load := range pool.levels {
		if order := other.compare(limit.level()); order <= 0 {
			backlog.Offered += load.offered
			if order < 0 {
				accepted += load.accepted
			}
		}
	}
	start := limit.first()
	backlog.Above = pool.waiting.Before(start)
	backlog.Peers = pool.waiting.Before(limit).Sub(backlog.Above)
	if own := pool.teams[job.Team]; own != nil {
		backlog.Own = own.Before(limit).Sub(own.Before(start))
	}
	planner.addTeam(&backlog, job, limit)
	planner.addRecent(&backlog, service, job.Team, limit)
	// What still waits of the accepted load is counted as Above. Without it, a single burst does not look like a lasting load.
	backlog.Inflow = max(0, accepted-backlog.Above.Seconds(pool.capacity)/acceptedSeconds)
	return backlog
}

// first returns the lowest rank of the tier and priority.
func (rank rank) first() rank {
	rank.deadline = time.Time{}
	return rank
}

// addTeam adds what counts against the cap of a job's team to a backlog.
func (planner *Planner) addTeam(backlog *forecaster.Backlog, job *Job, limit rank) {
	team := planner.catalog.Teams[job.Team]
	if team.Cap.Zero() {
		return
	}
	backlog.Cap, backlog.TeamUsed = team.Cap, planner.ensureTeam(job.Team).used
	if load := planner.admission.teams[job.Team]; load != nil {
		backlog.Cap, backlog.TeamUsed = without(team.Cap, load.running.Standing), backlog.TeamUsed.Sub(load.running.Standing)
		backlog.TeamRunning, backlog.TeamRunTime = load.running.Left, load.running.RunTime()
		backlog.TeamAhead = load.waiting.Before(limit)
	}
}

// without returns what a size leaves of a cap, and 1 instead of nothing, since 0 means no cap.
func without(limit, size sizer.Size) sizer.Size {
	left := limit.Sub(size).Max(sizer.Size{MilliCores: 1, MemoryMB: 1, Accelerators: 1})
	return sizer.Size{
		MilliCores: min(left.MilliCores, limit.MilliCores), MemoryMB: min(left.MemoryMB, limit.MemoryMB),
		Accelerators: min(left.Accelerators, limit.Accelerators),
	}
}

// aheadWork is work that is ahead of a job, by forecaster.Backlog.Above and Peers.
type aheadWork struct{ above, peers forecaster.Work }

// addRecent adds the jobs that were accepted after the last rebuild to a backlog.
func (planner *Planner) addRecent(backlog *forecaster.Backlog, service, team string, limit rank) {
	for index := range planner.admission.recent {
		entry := &planner.admission.recent[index]
		if entry.rank.Compare(limit) > 0 {
			continue
		}
		if entry.team == team {
			backlog.TeamAhead = backlog.TeamAhead.Add(entry.work)
		}
		switch {
		case entry.service != service:
		case entry.rank.level() != limit.level():
			backlog.Above = backlog.Above.Add(entry.work)
		default:
			backlog.Peers = backlog.Peers.Add(entry.work)
			if entry.team == team {
				backlog.Own = backlog.Own.Add(entry.work)
			}
		}
	}
}

// boundByCaps replaces the work ahead by the part of it that the caps of its teams allow to run within a time, so that the waiting
// work of a capped team does not get others refused.
func (planner *Planner) boundByCaps(backlog *forecaster.Backlog, service string, limit rank, within time.Duration) {
	recent := planner.recentByTeam(service, limit)
	for name, waiting := range planner.admission.pools[service].teams {
		bound := planner.catalog.Teams[name].Cap
		if bound.Zero() {
			continue
		}
		above := waiting.Before(limit.first())
		peers := waiting.Before(limit).Sub(above).Add(recent[name].peers)
		above = above.Add(recent[name].above)
		served := above.Bound(bound, within)
		left := within - time.Duration(served.Seconds(bound)*float64(time.Second))
		backlog.Above = backlog.Above.Sub(above).Add(served)
		backlog.Peers = backlog.Peers.Sub(peers).Add(peers.Bound(bound, max(left, 0)))
	}
}

// recentByTeam returns the work that addRecent adds to a backlog, by team.
func (planner *Planner) recentByTeam(service string, limit rank) map[string]aheadWork {
	byTeam := map[string]aheadWork{}
	for index := range planner.admission.recent {
		entry := &planner.admission.recent[index]
		if entry.service != service || entry.rank.Compare(limit) > 0 {
			continue
		}
		ahead := byTeam[entry.team]
		if entry.rank.level() == limit.level() {
			ahead.peers = ahead.peers.Add(entry.work)
		} else {
			ahead.above = ahead.above.Add(entry.work)
		}
		byTeam[entry.team] = ahead
	}
	return byTeam
}

// poolShare returns the part of a pool that a team is entitled to, by its weight among the teams that run or wait there.
func (planner *Planner) poolShare(pool *poolLoad, name string) float64 {
	own, all := planner.weight(name), pool.activeWeight
	if !pool.active[name] {
		all += own
	}
	return own / all
}
