package planner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ebonyshunt.org/library/sizer"
)

// BlockedStep describes why the waiting tasks of a step have not started.
type BlockedStep struct {
	Step         StepKey
	Queue        string
	Tasks        int            // number of waiting tasks
	BlockedSince time.Time      // when placement first found no room for the step, or since when its tasks are held
	Held         int            // number of waiting tasks that are held until it is known whether their workers crashed
	Workers      map[string]int // number of the service's workers by the first obstacle, "free" for none
	Capped       bool           // whether the team's cap keeps a task, or all of a gang, from starting
	TeamSize     sizer.Size     // total size of the team's runs, also of those that may exist
	TeamCap      sizer.Size     // 0 means no limit
	QueryOpen    bool           // whether a policy query for the step is open
	Team         string
	Share        float64 // dominant share of the service that the team should have now, 0 unless Settings.PoolShares
	UsedShare    float64 // dominant share of the service that the team uses, 0 unless Settings.PoolShares
}

// Explain returns the steps that have been blocked for at least minWait, longest first, at most limit of them.
func (planner *Planner) Explain(now time.Time, minWait time.Duration, limit int) []BlockedStep {
	var blocked []BlockedStep
	for _, step := range planner.steps {
		if since, held := step.waitsSince(now); !since.IsZero() && now.Sub(since) >= minWait {
			blocked = append(blocked, BlockedStep{Step: step.key, BlockedSince: since, Held: held})
		}
	}
	slices.SortFunc(blocked, func(a, b BlockedStep) int {
		return cmp.Or(a.BlockedSince.Compare(b.BlockedSince), strings.Compare(a.Step.Job, b.Step.Job))
	})
	blocked = blocked[:min(limit, len(blocked))]
	for index := range blocked {
		found := blocked[index]
		blocked[index] = planner.explainStep(planner.steps[found.Step], now)
		blocked[index].BlockedSince, blocked[index].Held = found.BlockedSince, found.Held
	}
	return blocked
}

// waitsSince returns since when placement has found no room for the step or tasks of it are held, zero if neither is the case, and how
// many are held.
func (step *step) waitsSince(now time.Time) (since time.Time, held int) {
	if len(step.waiting) == 0 {
		return time.Time{}, 0
	}
	since = step.blockedSince
	for _, index := range step.waiting {
		if !step.held(index, now) {
			continue
		}
		held++
		if closedAt := step.lastClosedAt(index); since.IsZero() || closedAt.Before(since) {
			since = closedAt
		}
	}
	return since, held
}

// lastClosedAt returns when the last of the lost runs of a task, or of the gang that it is in, was closed.
func (step *step) lastClosedAt(index int) time.Time {
	var last time.Time
	for _, task := range step.suspects(index) {
		for _, lost := range task.Evidence.Lost {
			if lost.ClosedAt.After(last) {
				last = lost.ClosedAt
			}
		}
	}
	return last
}

// startCount returns how many tasks of the step start together.
func (step *step) startCount() int64 {
	if step.Gang {
		return int64(step.Count)
	}
	return 1
}

// explainStep collects the obstacles to a step on all workers of its service.
func (planner *Planner) explainStep(step *step, now time.Time) BlockedStep {
	queue, _ := planner.catalog.Queue(step.job.Queue)
	blockedStep := BlockedStep{
		Step: step.key, Queue: queue.Name, Tasks: len(step.waiting), BlockedSince: step.blockedSince, Workers: map[string]int{},
		Capped: !planner.withinCap(step.job.Team, step.Step, step.startCount()), QueryOpen: step.policy.OpenCount() > 0, Team: step.job.Team, TeamSize: planner.ensureTeam(step.job.Team).used, TeamCap: planner.catalog.Teams[step.job.Team].Cap,
	}
	if planner.Settings.PoolShares {
		account := planner.accountOf(step)
		blockedStep.Share, blockedStep.UsedShare = planner.teamShare(account.account, account.class).Now, account.UsedShare(account.class)
	}
	pass := &pass{planner: planner, now: now, pools: map[string]*pool{}}
	for _, worker := range planner.workerList {
		if worker.Service == queue.Service {
			blockedStep.Workers[string(pass.obstacle(step, queue, worker))]++
		}
	}
	return blockedStep
}
