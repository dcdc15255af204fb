package planner

import (
	"cmp"
	"slices"
	"time"

	"ebonyshunt.org/library/permitter"
)

const (
	// minQueriedWorkers is the number of workers that a policy query names if there are as many candidates.
	minQueriedWorkers = 30
	// maxQueriedWorkers is the maximum number of workers in a policy query.
	maxQueriedWorkers = 100
	// maxOpenQueries is the maximum number of open policy queries of one step.
	maxOpenQueries = 4
	// queryMargin is the ratio of the tasks that the answers to a step's queries should allow to the tasks that wait:
	// other tasks may take the room before an answer arrives.
	queryMargin = 1.5
	// ticketMargin is subtracted from the validity of a ticket.
	ticketMargin = 150 * time.Millisecond
	// queryRetryMargin is added to the maximum answer time of a policy query before its answer counts as lost.
	queryRetryMargin = 2 * time.Second
	// initialAllowedShare is the share of the workers that a policy is assumed to allow before its first answer.
	initialAllowedShare = 0.5
	// allowedShareWeight is the weight of one worker of an answer in the moving average of a queue's allowed share.
	allowedShareWeight = 0.002
)

// Allowance is a worker on which the policy allows a step to run, with the ticket that the order has to carry.
type Allowance struct {
	Worker string
	Ticket string
}

// hasTicket reports whether there is a valid ticket for the step on the worker's current incarnation.
func (step *step) hasTicket(worker *Worker, now time.Time) bool {
	return step.policy.HasTicket(worker.ID, worker.Incarnation, now)
}

// Slots are numbers of concurrent policy queries, by the maximum time to their answer.
type Slots struct {
	Short int // queries with a maximum answer time of up to MaxShortQuery
	Long  int // all others
}

// MaxShortQuery is the longest maximum answer time of a short policy query.
const MaxShortQuery = 100 * time.Millisecond

// shortQueriesPerSlot is the maximum number of open short policy queries per slot. It is greater than 1 so that a
// slot does not become idle between two of them.
const shortQueriesPerSlot = 3

// SetSlots sets the number of slots for policy queries.
func (planner *Planner) SetSlots(slots Slots) { planner.slots = slots }

// slotFree reports whether a policy query with the given maximum answer time may be sent now.
func (planner *Planner) slotFree(maxAnswerTime time.Duration) bool {
	if maxAnswerTime <= MaxShortQuery {
		return planner.openQueries.Short < shortQueriesPerSlot*planner.slots.Short
	}
	return planner.openQueries.Long < planner.slots.Long
}

// countOpenQuery adds delta to the number of open short or long policy queries, depending on the maximum answer time.
func (planner *Planner) countOpenQuery(maxAnswerTime time.Duration, delta int) {
	if maxAnswerTime <= MaxShortQuery {
		planner.openQueries.Short += delta
	} else {
		planner.openQueries.Long += delta
	}
}

// queryPolicy queries the policy service about workers with room for the waiting tasks of the step. The slots for
// queries are scarce: the steps use them in the order of their ranks, and only for as many tasks as there is free
// capacity. Several queries of a step may be open, about different workers.
func (pass *pass) queryPolicy(step *step, queue Queue) {
	startAt := pass.now
	if pass.mayPreempt(step, queue) {
		startAt = startAt.Add(queue.Policy.renewalLead())
	}
	pass.queryUntil(step, queue, len(step.waiting), maxOpenQueries, startAt)
}

// queryPolicyFor is queryPolicy for a number of tasks.
func (pass *pass) queryPolicyFor(step *step, queue Queue, tasks int) {
	pass.queryUntil(step, queue, tasks, maxOpenQueries, pass.now)
}

// queryUntil is queryPolicyFor with at most maxOpen open queries, for tasks that start at a time: tickets that expire before are
// asked for again.
func (pass *pass) queryUntil(step *step, queue Queue, tasks, maxOpen int, startAt time.Time) {
	maxAnswerTime := queue.Policy.maxAnswerTime()
	lostBefore := pass.now.Add(-maxAnswerTime - time.Duration(maxQueriedWorkers)*queue.Policy.PerWorker - queryRetryMargin)
	step.policy.CloseBefore(lostBefore)
	wanted := queryMargin * float64(tasks)
	for step.policy.OpenCount() < maxOpen && step.policy.ExpectedTasks() < wanted {
		if pass.roomIsQueried(step, queue.Service) || !pass.planner.slotFree(maxAnswerTime) {
			break
		}
		ids, expected := pass.candidates(step, queue, tasks, wanted-step.policy.ExpectedTasks(), startAt)
		if len(ids) == 0 {
			break
		}
		pass.sendQuery(step, queue, ids, expected, maxAnswerTime)
	}
	expected := min(step.policy.ExpectedTasks(), float64(tasks))
	pass.queriedSize[queue.Service] = pass.queriedSize[queue.Service].Add(step.chargedSize().Mul(int64(expected)))
}

func (pass *pass) sendQuery(step *step, queue Queue, ids []string, expected float64, maxAnswerTime time.Duration) {
	planner := pass.planner
	planner.lastQuery++
	step.policy.Open(permitter.Query{ID: planner.lastQuery, Workers: ids, SentAt: pass.now, Tasks: expected})
	planner.countOpenQuery(maxAnswerTime, 1)
	planner.counts.queriedWorkers += len(ids)
	for _, id := range ids {
		if step.policy.AllowedBefore(id) {
			planner.counts.requeriedWorkers++
		}
	}
	planner.effects = append(planner.effects, PolicyQuery{
		ID: planner.lastQuery, Step: step.key, Workers: ids, MaxAnswerTime: maxAnswerTime,
		AnswerTime: queue.Policy.BaseTime + time.Duration(len(ids))*queue.Policy.PerWorker,
	})
}

// candidate is a worker that a policy query may name.
type candidate struct {
	worker        *Worker
	allowedBefore bool // whether the policy allowed it before, and the ticket is outdated
	room          int  // number of tasks of the step that it has room for
	cost          float64
}

// candidates returns the IDs of the workers to name in a policy query, and for how many tasks the answer is expected to
// give room. It names as many as should give room for the wanted number of tasks, and none if no worker has room and the
// step may not make any by preemption, or if a gang can find none at all. Up to minQueriedWorkers, workers that are full are
// included because they may have room by the time of the answer.
func (pass *pass) candidates(step *step, queue Queue, tasks int, wanted float64, startAt time.Time) ([]string, float64) {
	found := pass.findCandidates(step, queue, tasks, startAt)
	if len(found) == 0 || found[0].room == 0 && !pass.mayPreempt(step, queue) || step.Gang && !pass.fitsWhenEmptied(step, queue) {
		return nil, 0
	}
	allowedShare := pass.planner.ensureQueueStats(queue.Name).allowedShare
	ids := make([]string, 0, minQueriedWorkers)
	expected := 0.0
	for _, candidate := range found[:min(maxQueriedWorkers, len(found))] {
		if len(ids) >= minQueriedWorkers && (expected >= wanted || candidate.room == 0) {
			break
		}
		ids = append(ids, candidate.worker.ID)
		if candidate.allowedBefore {
			expected += float64(candidate.room)
		} else {
			expected += allowedShare * float64(candidate.room)
		}
	}
	return ids, expected
}

// findCandidates returns the workers that a policy query of the step may name: first those with room, then those that the
// policy allowed before, then by cost. Workers whose tickets are still valid at startAt are left out.
func (pass *pass) findCandidates(step *step, queue Queue, tasks int, startAt time.Time) []candidate {
	queried := map[string]bool{}
	for id := range step.policy.Queried() {
		queried[id] = true
	}
	var found []candidate
	for _, worker := range pass.pool(queue.Service).workers {
		if step.policy.Denied(worker.ID) || queried[worker.ID] || step.hasTicket(worker, startAt) ||
			!pass.couldStart(step, queue, worker) {
			continue
		}
		found = append(found, candidate{worker, step.policy.AllowedBefore(worker.ID), pass.roomFor(step, worker, tasks), pass.cost(step, queue, nil, worker, 0)})
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(-compareBool(a.room > 0, b.room > 0), -compareBool(a.allowedBefore, b.allowedBefore), cmp.Compare(a.cost, b.cost))
	})
	return found
}

// roomFor returns how many tasks of the step fit on a worker now, at most the given number.
func (pass *pass) roomFor(step *step, worker *Worker, tasks int) int {
	if pass.disturbedOn(step, worker) {
		return 0
	}
	size, free := step.chargedSize(), worker.Free()
	room := 0
	for room < tasks && size.Mul(int64(room+1)).Fits(free) && pass.planner.belowWorkerLimit(step, worker, room) {
		room++
	}
	return room
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// HandlePolicyAnswer processes the answer to a policy query. A policy does not change, so the workers that it does not
// allow are not queried again for the step.
func (planner *Planner) HandlePolicyAnswer(query PolicyQuery, allowed []Allowance, now time.Time) {
	planner.now = now
	planner.countOpenQuery(query.MaxAnswerTime, -1)
	step := planner.steps[query.Step]
	if step == nil {
		return
	}
	step.policy.Close(query.ID)
	queue, found := planner.catalog.Queue(step.job.Queue)
	if !found || queue.Policy == nil {
		return
	}
	planner.recordAllowedShare(step, query, allowed)
	for _, allowance := range allowed {
		if worker := planner.workers[allowance.Worker]; worker != nil {
			step.policy.Allow(worker.ID, permitter.Ticket{
				Text: allowance.Ticket, Incarnation: worker.Incarnation, ValidUntil: now.Add(queue.Policy.Validity - ticketMargin),
			})
		}
	}
	step.policy.Deny(query.Workers)
}

// HandlePolicyFailure records that a policy query failed. The step may then be queried again.
func (planner *Planner) HandlePolicyFailure(query PolicyQuery, now time.Time) {
	planner.now = now
	planner.countOpenQuery(query.MaxAnswerTime, -1)
	if step := planner.steps[query.Step]; step != nil {
		step.policy.Close(query.ID)
	}
}

// recordAllowedShare updates the share of the workers that the policy of a queue allows, from those workers of an
// answer that the step had not queried before.
func (planner *Planner) recordAllowedShare(step *step, query PolicyQuery, allowed []Allowance) {
	stats := planner.ensureQueueStats(step.job.Queue)
	isAllowed := map[string]bool{}
	for _, allowance := range allowed {
		isAllowed[allowance.Worker] = true
	}
	for _, id := range query.Workers {
		if step.policy.AllowedBefore(id) {
			continue
		}
		sample := 0.0
		if isAllowed[id] {
			sample = 1
		}
		stats.allowedShare += allowedShareWeight * (sample - stats.allowedShare)
	}
}
