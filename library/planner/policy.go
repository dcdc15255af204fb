package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	mostAsked    = 30 // workers named in a question
	ticketMargin = 150 * time.Millisecond
	askPatience  = 2 * time.Second // beyond what the answer costs, before the question is repeated
)

// Allowance is a worker that the policy lets run a step, with the ticket that a start has to show.
type Allowance struct {
	Worker string
	Ticket string
}

// valid reports whether a ticket for the worker's present incarnation is at hand.
func (policyAnswer *policyAnswer) valid(worker *Worker, now time.Time) bool {
	ticket, found := policyAnswer.allowed[worker.ID]
	return found && ticket.born == worker.Born && now.Before(ticket.until)
}

// Slots are how many questions the policy service takes at once.
type Slots struct {
	Short int // for questions that are answered quickly
	Long  int // for the others
}

// ShortQuestion is the time up to which a question counts as short.
const ShortQuestion = 100 * time.Millisecond

// shortPerSlot is how many short questions may be open on a slot, so that it does not fall idle.
const shortPerSlot = 3

// SetSlots tells how many questions may be open at once.
func (planner *Planner) SetSlots(slots Slots) { planner.slots = slots }

// slotFree reports whether a question that costs some time may be put now.
func (planner *Planner) slotFree(costs time.Duration) bool {
	if costs <= ShortQuestion {
		return planner.open.Short < shortPerSlot*planner.slots.Short
	}
	return planner.open.Long < planner.slots.Long
}

func (planner *Planner) countQuestion(costs time.Duration, by int) {
	if costs <= ShortQuestion {
		planner.open.Short += by
	} else {
		planner.open.Long += by
	}
}

// ask asks the policy service about workers that have room for a step's task. Questions are scarce: they
// go to the most pressing steps first, for no more work than there is room, and one at a time for a step.
func (pass *pass) ask(step *step, queue Queue) {
	costs := queue.Policy.Decide + time.Duration(mostAsked)*queue.Policy.PerWorker
	if !step.policy.asked.IsZero() && pass.now.Sub(step.policy.asked) < costs+askPatience {
		pass.promise(step, queue)
		return
	}
	if !pass.planner.slotFree(costs) || pass.promised[queue.Service].Dominant(pass.pool(queue.Service).room) >= 1 {
		return
	}
	names := pass.candidates(step, queue)
	if len(names) == 0 {
		return
	}
	pass.promise(step, queue)
	step.policy.asked = pass.now
	ask := Ask{
		Step: step.key, Workers: names, Class: costs,
		Costs: queue.Policy.Decide + time.Duration(len(names))*queue.Policy.PerWorker,
	}
	pass.planner.countQuestion(ask.Class, 1)
	pass.planner.effects = append(pass.planner.effects, ask)
}

// promise counts the work of a step that will start once its question is answered.
func (pass *pass) promise(step *step, queue Queue) {
	pass.promised[queue.Service] = pass.promised[queue.Service].Add(step.charge().Times(int64(len(step.waiting))))
}

// candidates returns the workers worth asking about, or none while no worker has room. Those that are
// known to be allowed come first, then those with room; a worker that is full may have room by the time
// of the answer.
func (pass *pass) candidates(step *step, queue Queue) []string {
	type candidate struct {
		worker *Worker
		known  bool
		room   bool
		cost   float64
	}
	var found []candidate
	rooms := 0
	for _, worker := range pass.pool(queue.Service).workers {
		if !worker.hasLabel(step.Label) || !step.charge().Fits(worker.Capacity) || step.policy.denied[worker.ID] ||
			step.policy.valid(worker, pass.now) {
			continue
		}
		room := step.charge().Fits(worker.Free())
		if room {
			rooms++
		}
		_, known := step.policy.allowed[worker.ID]
		found = append(found, candidate{worker, known, room, pass.cost(step, queue, nil, worker, 0)})
	}
	if rooms == 0 {
		return nil
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(-compareBool(a.room, b.room), -compareBool(a.known, b.known), cmp.Compare(a.cost, b.cost))
	})
	names := make([]string, 0, mostAsked)
	for _, candidate := range found[:min(mostAsked, len(found))] {
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
	planner.countQuestion(ask.Class, -1)
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
	planner.countQuestion(ask.Class, -1)
	if step := planner.steps[ask.Step]; step != nil {
		step.policy.asked = time.Time{}
	}
}
