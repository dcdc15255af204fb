package planner

import (
	"slices"
	"strings"
	"time"
)

// Waiting tells why a step's tasks have not started.
type Waiting struct {
	Step    StepKey
	Queue   string
	Tasks   int
	Since   time.Time
	Workers map[string]int // how many workers are ruled out, by the first reason
	Capped  bool           // the team's cap is in the way
	Asked   bool           // a question to the policy service is open
}

// Explain returns the steps that have waited for longest without room, at most some of them.
func (planner *Planner) Explain(now time.Time, since time.Duration, most int) []Waiting {
	var found []*step
	for _, step := range planner.steps {
		if len(step.waiting) > 0 && !step.blocked.IsZero() && now.Sub(step.blocked) >= since {
			found = append(found, step)
		}
	}
	slices.SortFunc(found, func(a, b *step) int {
		if order := a.blocked.Compare(b.blocked); order != 0 {
			return order
		}
		return strings.Compare(a.key.Job, b.key.Job)
	})
	explained := make([]Waiting, 0, min(most, len(found)))
	for _, step := range found[:min(most, len(found))] {
		explained = append(explained, planner.explain(step, now))
	}
	return explained
}

func (planner *Planner) explain(step *step, now time.Time) Waiting {
	queue, _ := planner.catalog.Queue(step.job.Queue)
	waiting := Waiting{
		Step: step.key, Queue: queue.Name, Tasks: len(step.waiting), Since: step.blocked, Workers: map[string]int{},
		Capped: !planner.within(step.job.Team, step.Step, 1), Asked: !step.policy.asked.IsZero(),
	}
	pass := &pass{planner: planner, now: now, pools: map[string]*pool{}}
	for _, worker := range planner.workers {
		if worker.Service == queue.Service {
			waiting.Workers[pass.obstacle(step, queue, worker)]++
		}
	}
	return waiting
}

// obstacle names the first reason for which a worker does not get a step's task.
func (pass *pass) obstacle(step *step, queue Queue, worker *Worker) string {
	switch {
	case !worker.Listed || worker.Draining:
		return "leaving"
	case !worker.hasLabel(step.Label):
		return "label"
	case !step.charge().Fits(worker.Capacity):
		return "tooSmall"
	case !worker.health.usable(pass.now):
		return "barred"
	case !pass.planner.sound(worker, pass.now):
		return "unanswered"
	}
	return pass.obstacleNow(step, queue, worker)
}

func (pass *pass) obstacleNow(step *step, queue Queue, worker *Worker) string {
	switch {
	case !step.charge().Fits(worker.Free()):
		return "full"
	case !pass.planner.apart(step, worker, 0):
		return "apart"
	case step.Filler && worker.serving > 0 || step.TailMS > 0 && worker.fillers > 0:
		return "disturbed"
	case queue.Policy != nil && step.policy.denied[worker.ID]:
		return "denied"
	case queue.Policy != nil && !step.policy.valid(worker, pass.now):
		return "noTicket"
	}
	return "free"
}
