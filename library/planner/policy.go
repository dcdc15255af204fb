package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	firstAsked   = 30 // workers named in the first question about a step
	laterAsked   = 24 // workers named in later ones
	ticketMargin = 150 * time.Millisecond
	askPatience  = 2 * time.Second // beyond what the answer costs, before the question is repeated
)

// Allowance is a worker that the policy lets run a step, with the ticket that a start has to show.
type Allowance struct {
	Worker string
	Ticket string
}

// valid reports whether a ticket for the worker's present incarnation is at hand.
func (answer *policyAnswer) valid(worker *Worker, now time.Time) bool {
	ticket, found := answer.allowed[worker.ID]
	return found && ticket.born == worker.Born && now.Before(ticket.until)
}

// ask asks the policy service about workers that have room for a step's task, unless a question is open.
func (pass *pass) ask(step *step, queue Queue) {
	costs := queue.Policy.Decide + time.Duration(firstAsked)*queue.Policy.PerWorker
	if !step.policy.asked.IsZero() && pass.now.Sub(step.policy.asked) < costs+askPatience {
		return
	}
	names := pass.candidates(step, queue)
	if len(names) == 0 {
		return
	}
	step.policy.asked = pass.now
	pass.planner.effects = append(pass.planner.effects, Ask{
		Step: step.key, Workers: names,
		Costs: queue.Policy.Decide + time.Duration(len(names))*queue.Policy.PerWorker,
	})
}

// candidates returns the workers worth asking about: at first the roomiest, later those with room now.
func (pass *pass) candidates(step *step, queue Queue) []string {
	first := step.policy.allowed == nil
	type candidate struct {
		worker *Worker
		known  bool
		room   bool
		cost   float64
	}
	var found []candidate
	for _, id := range pass.planner.names {
		worker := pass.planner.workers[id]
		if !pass.planner.fit(step, queue, worker) || step.policy.denied[id] || step.policy.valid(worker, pass.now) {
			continue
		}
		room := step.charge().Fits(worker.Free()) && pass.planner.sound(worker, pass.now)
		if !first && !room {
			continue
		}
		_, known := step.policy.allowed[id]
		found = append(found, candidate{worker, known, room, pass.cost(step, nil, worker, 0)})
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(-compareBool(a.known, b.known), -compareBool(a.room, b.room), cmp.Compare(a.cost, b.cost))
	})
	most := firstAsked
	if !first {
		most = min(laterAsked, 2*len(step.waiting)+2)
	}
	var names []string
	for _, candidate := range found[:min(most, len(found))] {
		names = append(names, candidate.worker.ID)
	}
	return names
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Advised takes the answer of the policy service. A policy does not change, so a worker that was not
// allowed stays so.
func (planner *Planner) Advised(ask Ask, allowed []Allowance, now time.Time) {
	planner.now = now
	step := planner.steps[ask.Step]
	if step == nil {
		return
	}
	step.policy.asked = time.Time{}
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
				text: allowance.Ticket, born: worker.Born, until: now.Add(queue.Policy.Valid - ticketMargin),
			}
		}
	}
	for _, id := range ask.Workers {
		if _, found := step.policy.allowed[id]; !found {
			step.policy.denied[id] = true
		}
	}
}

// Unadvised takes note that a question was not answered.
func (planner *Planner) Unadvised(ask Ask, now time.Time) {
	planner.now = now
	if step := planner.steps[ask.Step]; step != nil {
		step.policy.asked = time.Time{}
	}
}
