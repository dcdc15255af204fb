package planner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ebonyshunt.org/library/blamer"
	"ebonyshunt.org/library/sizer"
)

// A standing task whose worker does not answer starts elsewhere once the worker's leases have expired. The policy's permission
// and the room for that start are got ready before, so that the task does not wait for them afterwards.

const (
	// maxStandbyMargin is the maximum time before the end of a lease by which the policy's answer should have arrived.
	maxStandbyMargin = time.Second
	// standbySlack is the time from the end of a lease to the order for the next run, and of a stop to the room that it makes.
	standbySlack = 200 * time.Millisecond
	// standbyTimeout is how long after the end of the lease a worker is kept free for a task that could not start.
	standbyTimeout = time.Second
	// maxStandbyQueries is the maximum number of open policy queries for the standbys of one step.
	maxStandbyQueries = 2
	// minStandbyTargets is the number of workers that are kept free for standbys at most, or a part of all workers if that is more.
	minStandbyTargets = 8
	// standbyDivisor gives that part.
	standbyDivisor = 8
)

// standby is a standing task that starts again soon because its run's worker does not answer.
type standby struct {
	key       TaskKey
	number    int       // of the run on that worker
	expiresAt time.Time // end of the worker's leases
	target    string    // ID of the worker that is kept free for the task, empty while there is none
}

// standbyMargin returns how long before the end of a lease the room for a task of the queue's is kept free, and the permission
// for it should have arrived. The ticket has to be valid for as long afterwards.
func (planner *Planner) standbyMargin(queue Queue) time.Duration {
	if queue.Policy == nil {
		return planner.Settings.MaxStopTime + standbySlack
	}
	return min(maxStandbyMargin, (queue.Policy.Validity-ticketMargin)/2)
}

// standbyLead returns how long before the end of a lease the permission is asked for.
func (planner *Planner) standbyLead(queue Queue) time.Duration {
	if queue.Policy == nil {
		return planner.standbyMargin(queue)
	}
	return planner.standbyMargin(queue) + queue.Policy.maxAnswerTime()
}

// updateStandbys finds the standing tasks that start again soon, and starts those whose leases have expired ahead of all other
// work. For the others it keeps workers free.
func (pass *pass) updateStandbys() {
	former := pass.planner.standbys
	pass.planner.standbys = nil
	for _, standby := range former {
		if standby.target != "" {
			pass.reserveStandby(standby)
		}
	}
	for _, standby := range former {
		if _, run := pass.planner.openRun(standby.key, standby.number); run == nil {
			pass.startStandby(standby)
		}
	}
	open := pass.openStandbys(former)
	for index := range open {
		pass.prepareRoom(&open[index])
	}
	pass.planner.standbys = append(pass.planner.standbys, open...)
}

// reserveStandby keeps the target of a standby free in this pass.
func (pass *pass) reserveStandby(standby standby) {
	if !pass.reserved[standby.target] {
		pass.standbyTargets++
	}
	pass.reserved[standby.target] = true
}

// releaseStandby undoes reserveStandby.
func (pass *pass) releaseStandby(standby standby) {
	if standby.target != "" && pass.reserved[standby.target] {
		pass.standbyTargets--
		delete(pass.reserved, standby.target)
	}
}

// startStandby starts a task whose run has been closed. If it finds no room, the standby is kept for standbyTimeout.
func (pass *pass) startStandby(standby standby) {
	pass.releaseStandby(standby)
	step := pass.planner.steps[standby.key.step()]
	if step == nil || !slices.Contains(step.waiting, standby.key.Index) {
		return
	}
	pass.place(step)
	if !slices.Contains(step.waiting, standby.key.Index) || pass.now.Sub(standby.expiresAt) > standbyTimeout {
		return
	}
	if standby.target != "" {
		pass.reserveStandby(standby)
	}
	pass.planner.standbys = append(pass.planner.standbys, standby)
}

// openStandbys returns a standby for each standing task whose run is on a worker that does not answer and whose leases expire
// soon, sorted by that time. The targets are those of the former standbys; those of runs that have answered are released.
func (pass *pass) openStandbys(former []standby) []standby {
	targets := map[TaskKey]standby{}
	for _, standby := range former {
		targets[standby.key] = standby
	}
	var open []standby
	for _, worker := range pass.planner.workerList {
		if len(worker.Runs) == 0 || worker.RunsKnown && worker.Listed {
			continue
		}
		for _, run := range worker.Runs {
			expiresAt := worker.leasesExpireAt(run)
			if !pass.restartsSoon(run, expiresAt) {
				continue
			}
			found := standby{key: run.Key, number: run.Number, expiresAt: expiresAt}
			if existing := targets[run.Key]; existing.number == run.Number {
				found.target = existing.target
				delete(targets, run.Key)
			}
			open = append(open, found)
		}
	}
	for _, standby := range targets {
		if _, run := pass.planner.openRun(standby.key, standby.number); run != nil {
			pass.releaseStandby(standby)
		}
	}
	slices.SortFunc(open, func(a, b standby) int { return cmp.Or(a.expiresAt.Compare(b.expiresAt), a.key.compare(b.key)) })
	return open
}

// restartsSoon reports whether a run is that of a standing task that starts elsewhere at expiresAt, which is soon.
func (pass *pass) restartsSoon(run *Run, expiresAt time.Time) bool {
	step := pass.planner.steps[run.Key.step()]
	if step == nil || !run.Sent || !step.Standing || step.Gang || step.job.state.Final() || step.suspicion(run.Key.Index)+1 >= blamer.MaxCrashes {
		return false
	}
	queue, found := pass.planner.catalog.Queue(step.job.Queue)
	return found && expiresAt.Sub(pass.now) <= pass.planner.standbyLead(queue)
}

// atLeaseEnd returns a copy of the pass at the time at which a standby's order is sent. The pools stay those of now.
func (pass *pass) atLeaseEnd(standby *standby, queue Queue) *pass {
	pass.pool(queue.Service)
	later := *pass
	later.now = standby.expiresAt.Add(standbySlack)
	if later.now.Before(pass.now) {
		later.now = pass.now
	}
	return &later
}

// prepareRoom keeps a worker free for a standby once the policy allows one. If none has room, it is made by preemption shortly
// before the lease ends.
func (pass *pass) prepareRoom(standby *standby) {
	step := pass.planner.steps[standby.key.step()]
	queue, _ := pass.planner.catalog.Queue(step.job.Queue)
	pass.releaseStandby(*standby)
	left := standby.expiresAt.Sub(pass.now)
	if left > pass.planner.standbyMargin(queue) || pass.standbyTargets >= pass.maxStandbyTargets() {
		standby.target = ""
		return
	}
	later := pass.atLeaseEnd(standby, queue)
	if !later.suits(standby.target, step, queue) {
		standby.target = later.standbyTarget(standby, step, queue)
	}
	if standby.target == "" {
		return
	}
	if left <= pass.planner.Settings.MaxStopTime+standbySlack && !step.chargedSize().Fits(pass.planner.workers[standby.target].Free()) {
		if target := pass.stopForStandby(later, step, queue); target != "" {
			standby.target = target
		}
	}
	pass.reserveStandby(*standby)
}

// maxStandbyTargets returns the maximum number of workers that one pass keeps free for standbys.
func (pass *pass) maxStandbyTargets() int {
	return max(minStandbyTargets, len(pass.planner.workerList)/standbyDivisor)
}

// suits reports whether a worker may take a task of the step, apart from its room.
func (pass *pass) suits(id string, step *step, queue Queue) bool {
	worker := pass.planner.workers[id]
	return worker != nil && worker.poolPass == pass.number && worker.Service == queue.Service && pass.reservable(step, queue, worker) &&
		!pass.disturbedOn(step, worker) && (queue.Policy == nil || step.hasTicket(worker, pass.now))
}

// ticketed returns the workers on which a step may start, sorted by ID: those with a ticket if its queue has a policy.
func (pass *pass) ticketed(step *step, queue Queue) []*Worker {
	workers := pass.placeable(step, queue)
	if len(workers) == len(pass.pool(queue.Service).workers) {
		return workers // the pool, which is sorted
	}
	slices.SortFunc(workers, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	return workers
}

// standbyTarget returns the ID of the worker to keep free for a standby: the best one with room, or else the one with the largest
// free share, or an empty string if the policy allows none.
func (pass *pass) standbyTarget(standby *standby, step *step, queue Queue) string {
	best, mostFree := "", ""
	bestCost, largest := 0.0, -1.0
	for _, worker := range pass.ticketed(step, queue) {
		if !pass.suits(worker.ID, step, queue) {
			continue
		}
		if share := worker.Free().Max(sizer.Size{}).DominantShare(worker.Capacity); share > largest {
			mostFree, largest = worker.ID, share
		}
		if !pass.eligible(step, queue, worker, 0) {
			continue
		}
		if cost := pass.cost(step, queue, &step.tasks[standby.key.Index], worker, 0); best == "" || cost < bestCost {
			best, bestCost = worker.ID, cost
		}
	}
	return cmp.Or(best, mostFree)
}

// stopForStandby stops runs of lower priority on the suitable worker where the fewest make room for a task of the step, and
// returns its ID, or an empty string if there is none. Suitability is that at a later time.
func (pass *pass) stopForStandby(later *pass, step *step, queue Queue) string {
	target := ""
	var best []*Run
	for _, worker := range later.ticketed(step, queue) {
		if !later.suits(worker.ID, step, queue) {
			continue
		}
		if victims, found := pass.victims(worker, step, queue); found && (target == "" || len(victims) < len(best)) {
			target, best = worker.ID, victims
		}
	}
	for _, run := range best {
		pass.planner.stopRun(run, pass.now)
	}
	return target
}

// queryForStandbys queries the policy about workers for the standbys that have none with room yet.
func (pass *pass) queryForStandbys() {
	if pass.standbysQueried {
		return
	}
	pass.standbysQueried = true
	missing := map[StepKey]int{}
	var first []*standby // of each step, in order
	for index := range pass.planner.standbys {
		standby := &pass.planner.standbys[index]
		step, run := pass.planner.openRun(standby.key, standby.number)
		if run == nil || standby.hasRoom(step, pass.planner.workers[standby.target]) {
			continue // a task without a run waits, so that its step asks for itself
		}
		if missing[step.key] == 0 {
			first = append(first, standby)
		}
		missing[step.key]++
	}
	for _, standby := range first {
		step := pass.planner.steps[standby.key.step()]
		pass.queryForStandby(standby, step, missing[step.key])
	}
}

// queryForStandby queries the policy about workers for some tasks of a step, unless it allows enough with room.
func (pass *pass) queryForStandby(standby *standby, step *step, tasks int) {
	queue, found := pass.planner.catalog.Queue(step.job.Queue)
	if !found || queue.Policy == nil || step.policy.OpenCount() >= maxStandbyQueries || !pass.planner.slotFree(queue.Policy.maxAnswerTime()) {
		return
	}
	if later := pass.atLeaseEnd(standby, queue); !later.allowsRoom(step, queue, tasks) {
		pass.queryUntil(step, queue, tasks, maxStandbyQueries, later.now)
	}
}

// hasRoom reports whether the worker that is kept free for a standby has room for it.
func (*standby) hasRoom(step *step, target *Worker) bool {
	return target != nil && step.chargedSize().Fits(target.Free())
}

// allowsRoom reports whether the policy allows enough workers with room for a number of tasks of the step.
func (pass *pass) allowsRoom(step *step, queue Queue, tasks int) bool {
	room := 0
	for _, worker := range pass.ticketed(step, queue) {
		if pass.suits(worker.ID, step, queue) {
			room += pass.roomFor(step, worker, tasks)
		}
	}
	return room >= tasks
}
