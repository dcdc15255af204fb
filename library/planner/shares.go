package planner

import "ebonyshunt.org/library/sizer"

// shares are the teams' parts of the fleet, by weight among those that run or wait for something.
type shares struct {
	total   sizer.Size // capacity of the fleet
	weights float64    // of the active teams
}

func (planner *Planner) shares() shares {
	var made shares
	for _, worker := range planner.workers {
		if worker.Listed {
			made.total = made.total.Add(worker.Capacity)
		}
	}
	active := map[string]bool{}
	for _, step := range planner.steps {
		if !active[step.job.Team] {
			active[step.job.Team] = true
			made.weights += planner.weight(step.job.Team)
		}
	}
	return made
}

// withinShare reports whether a step's team may start one more task in the present round. A team's part
// of the fleet is its dominant one.
func (pass *pass) withinShare(step *step) bool {
	if !pass.shared {
		return true
	}
	used := pass.planner.team(step.job.Team).used.Add(step.charge())
	return used.Dominant(pass.shares.total)*pass.shares.weights <= pass.planner.weight(step.job.Team)
}

// weight returns a team's weight; work that belongs to no team counts as one team of weight 1.
func (planner *Planner) weight(name string) float64 {
	if info, found := planner.catalog.Teams[name]; found && info.Weight > 0 {
		return info.Weight
	}
	return 1
}
