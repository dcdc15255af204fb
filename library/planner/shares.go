package planner

import "ebonyshunt.org/library/sizer"

// shares is what the teams' shares of the fleet are computed from. Active teams, which have steps that run or wait,
// get shares in proportion to their weights.
type shares struct {
	fleetCapacity sizer.Size // capacity of the listed workers
	activeWeight  float64    // total weight of the active teams
}

// computeShares returns the capacity of the fleet and the total weight of the active teams.
func (planner *Planner) computeShares() shares {
	var result shares
	for _, worker := range planner.workerList {
		if worker.Listed && !planner.drainedZones[worker.Zone] {
			result.fleetCapacity = result.fleetCapacity.Add(worker.Capacity)
		}
	}
	active := map[string]bool{}
	for _, step := range planner.steps {
		if !active[step.job.Team] {
			active[step.job.Team] = true
			result.activeWeight += planner.weight(step.job.Team)
		}
	}
	return result
}

// withinShare reports whether a step's team may start one more task in the current round. The share that a team uses
// is its dominant share: the largest of its shares of any resource of the fleet.
func (pass *pass) withinShare(step *step) bool {
	if !pass.limitShares {
		return true
	}
	if pass.planner.Settings.PoolShares {
		return pass.belowPoolShare(step)
	}
	used := pass.planner.ensureTeam(step.job.Team).used.Add(step.Size)
	return used.DominantShare(pass.shares.fleetCapacity)*pass.shares.activeWeight <= pass.planner.weight(step.job.Team)
}

// weight returns a team's weight, or 1 for a team without one and for jobs without a team.
func (planner *Planner) weight(name string) float64 {
	if team, found := planner.catalog.Teams[name]; found && team.Weight > 0 {
		return team.Weight
	}
	return 1
}
