package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxQueriedWorkers is the maximum number of workers in a policy query.
	maxQueriedWorkers = 30
	// ticketMargin is subtracted from the validity of a ticket.
	ticketMargin = 150 * time.Millisecond
	// queryRetryMargin is added to the maximum answer time of a policy query before the query is repeated.
	queryRetryMargin = 2 * time.Second
)

// Allowance is a worker on which the policy allows a step to run, with the ticket that the order has to carry.
type Allowance struct {
	Worker string
	Ticket string
}

// hasTicket reports whether there is a valid ticket for the worker's current incarnation.
func (policyCache *policyCache) hasTicket(worker *Worker, now time.Time) bool {
	ticket, found := policyCache.allowed[worker.ID]
	return found && ticket.incarnation == worker.Incarnation && now.Before(ticket.validUntil)
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

// queryPolicy queries the policy service about workers with room for a task of the step. The slots for queries are
// scarce: the steps use them in the order of their ranks, only for as many tasks as there is free capacity, and
// with one open query per step.
func (pass *pass) queryPolicy(step *step, queue Queue) {
	maxAnswerTime := queue.Policy.BaseTime + time.Duration(maxQueriedWorkers)*queue.Policy.PerWorker
	if !step.policy.querySentAt.IsZero() && pass.now.Sub(step.policy.querySentAt) < maxAnswerTime+queryRetryMargin {
		pass.addQueriedSize(step, queue)
		return
	}
	if !pass.planner.slotFree(maxAnswerTime) || pass.queriedSize[queue.Service].DominantShare(pass.pool(queue.Service).totalFree) >= 1 {
		return
	}
	ids := pass.candidates(step, queue)
	if len(ids) == 0 {
		return
	}
	pass.addQueriedSize(step, queue)
	step.policy.querySentAt = pass.now
	query := PolicyQuery{
		Step: step.key, Workers: ids, MaxAnswerTime: maxAnswerTime,
		AnswerTime: queue.Policy.BaseTime + time.Duration(len(ids))*queue.Policy.PerWorker,
	}
	pass.planner.countOpenQuery(query.MaxAnswerTime, 1)
	pass.planner.effects = append(pass.planner.effects, query)
}

// addQueriedSize counts the waiting tasks of a step, which can start once its policy query is answered.
func (pass *pass) addQueriedSize(step *step, queue Queue) {
	pass.queriedSize[queue.Service] = pass.queriedSize[queue.Service].Add(step.chargedSize().Mul(int64(len(step.waiting))))
}

// candidates returns the IDs of the workers to name in a policy query, or none if no worker has room. They are
// sorted by whether they have room, then by whether the policy allowed them before (the ticket is outdated), then by
// cost. Workers that are full are included because they may have room by the time of the answer.
func (pass *pass) candidates(step *step, queue Queue) []string {
	type candidate struct {
		worker        *Worker
		allowedBefore bool
		hasRoom       bool
		cost          float64
	}
	var found []candidate
	withRoom := 0
	for _, worker := range pass.pool(queue.Service).workers {
		if !worker.hasLabel(step.Label) || !step.chargedSize().Fits(worker.Capacity) || step.policy.denied[worker.ID] ||
			step.policy.hasTicket(worker, pass.now) {
			continue
		}
		hasRoom := step.chargedSize().Fits(worker.Free())
		if hasRoom {
			withRoom++
		}
		_, allowedBefore := step.policy.allowed[worker.ID]
		found = append(found, candidate{worker, allowedBefore, hasRoom, pass.cost(step, queue, nil, worker, 0)})
	}
	if withRoom == 0 {
		return nil
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(-compareBool(a.hasRoom, b.hasRoom), -compareBool(a.allowedBefore, b.allowedBefore), cmp.Compare(a.cost, b.cost))
	})
	ids := make([]string, 0, maxQueriedWorkers)
	for _, candidate := range found[:min(maxQueriedWorkers, len(found))] {
		ids = append(ids, candidate.worker.ID)
	}
	return ids
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
	step.policy.querySentAt = time.Time{}
	queue, found := planner.catalog.Queue(step.job.Queue)
	if !found || queue.Policy == nil {
		return
	}
	if step.policy.allowed == nil {
		step.policy.allowed, step.policy.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, allowance := range allowed {
		if worker := planner.workers[allowance.Worker]; worker != nil {
			step.policy.allowed[worker.ID] = ticket{
				text: allowance.Ticket, incarnation: worker.Incarnation, validUntil: now.Add(queue.Policy.Validity - ticketMargin),
			}
		}
	}
	for _, id := range query.Workers {
		if _, found := step.policy.allowed[id]; !found {
			step.policy.denied[id] = true
		}
	}
}

// HandlePolicyFailure records that a policy query failed. The step may then be queried again.
func (planner *Planner) HandlePolicyFailure(query PolicyQuery, now time.Time) {
	planner.now = now
	planner.countOpenQuery(query.MaxAnswerTime, -1)
	if step := planner.steps[query.Step]; step != nil {
		step.policy.querySentAt = time.Time{}
	}
}
