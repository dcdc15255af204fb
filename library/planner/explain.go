package planner

import (
	"slices"
	"strings"
	"time"
)

// BlockedStep describes why the waiting tasks of a step have not started.
type BlockedStep struct {
	Step         StepKey
	Queue        string
	Tasks        int            // number of waiting tasks
	BlockedSince time.Time      // when placement first found no room for the step
	Workers      map[string]int // number of the service's workers by the first obstacle, "free" for none
	Capped       bool           // whether the team's cap keeps the tasks from starting
	QueryOpen    bool           // whether a policy query for the step is open
	Team         string
	Share        float64 // dominant share of the service that the team should have now, 0 unless Settings.PoolShares
	UsedShare    float64 // dominant share of the service that the team uses, 0 unless Settings.PoolShares
}

// Explain returns the steps that have been blocked for at least minWait, longest first, at most limit of them.
func (planner *Planner) Explain(now time.Time, minWait time.Duration, limit int) []BlockedStep {
	var blocked []*step
	for _, step := range planner.steps {
		if len(step.waiting) > 0 && !step.blockedSince.IsZero() && now.Sub(step.blockedSince) >= minWait {
			blocked = append(blocked, step)
		}
	}
	slices.SortFunc(blocked, func(a, b *step) int {
		if order := a.blockedSince.Compare(b.blockedSince); order != 0 {
			return order
		}
		return strings.Compare(a.key.Job, b.key.Job)
	})
	explained := make([]BlockedStep, 0, min(limit, len(blocked)))
	for _, step := range blocked[:min(limit, len(blocked))] {
		explained = append(explained, planner.explainStep(step, now))
	}
	return explained
}

// explainStep collects the obstacles to a step on all workers of its service.
func (planner *Planner) explainStep(step *step, now time.Time) BlockedStep {
	queue, _ := planner.catalog.Queue(step.job.Queue)
	blockedStep := BlockedStep{
		Step: step.key, Queue: queue.Name, Tasks: len(step.waiting), BlockedSince: step.blockedSince, Workers: map[string]int{},
		Capped: !planner.withinCap(step.job.Team, step.Step, 1), QueryOpen: len(step.policy.open) > 0, Team: step.job.Team,
	}
	if planner.Settings.PoolShares {
		account := planner.accountOf(step)
		blockedStep.Share, blockedStep.UsedShare = planner.teamShare(account.account, account.class).Now, account.usedShare(account.class)
	}
	pass := &pass{planner: planner, now: now, pools: map[string]*pool{}}
	for _, worker := range planner.workerList {
		if worker.Service == queue.Service {
			blockedStep.Workers[pass.obstacle(step, queue, worker)]++
		}
	}
	return blockedStep
}

// obstacle returns the first reason why a worker gets no task of a step, or "free" if there is none.
func (pass *pass) obstacle(step *step, queue Queue, worker *Worker) string {
	switch {
	case !worker.Listed || worker.Draining:
		return "leaving"
	case pass.planner.drainedZones[worker.Zone]:
		return "drained"
	case !worker.hasLabel(step.Label):
		return "label"
	case !step.chargedSize().Fits(worker.Capacity):
		return "tooSmall"
	case !worker.health.Usable(pass.now):
		return "barred"
	case !pass.planner.acceptsRuns(worker, pass.now):
		return "unanswered"
	}
	return pass.placementObstacle(step, queue, worker)
}

// placementObstacle returns the first obstacle among the worker's runs and the policy, or "free" if there is none.
func (pass *pass) placementObstacle(step *step, queue Queue, worker *Worker) string {
	switch {
	case !step.chargedSize().Fits(worker.Free()):
		return "full"
	case !pass.admittedWhileCold(step, queue, worker, 0):
		return "cold"
	case !pass.planner.belowWorkerLimit(step, worker, 0):
		return "apart"
	case worker.isolation.FromRuns(pass.now):
		return "isolated"
	case step.disturbedOn(worker):
		return "disturbed"
	case queue.Policy != nil && step.policy.denied[worker.ID]:
		return "denied"
	case queue.Policy != nil && !step.policy.hasTicket(worker, pass.now):
		return "noTicket"
	}
	return "free"
}
