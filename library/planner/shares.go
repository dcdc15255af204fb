package planner

import "ebonyshunt.org/library/sizer"

// overShare returns the teams that have more of the fleet than their share of what is in use, where the
// shares are by weight among the teams that run or wait for something. A team's part of the fleet is its
// dominant one.
func (planner *Planner) overShare() map[string]bool {
	var total sizer.Size
	for _, worker := range planner.workers {
		if worker.Listed {
			total = total.Add(worker.Capacity)
		}
	}
	active := map[string]bool{}
	for _, step := range planner.steps {
		active[step.job.Team] = true
	}
	weights, used := 0.0, 0.0
	for name := range active {
		weights += planner.weight(name)
		used += planner.team(name).used.Dominant(total)
	}
	over := map[string]bool{}
	for name := range active {
		share := planner.weight(name) / weights
		if planner.team(name).used.Dominant(total) > share*used {
			over[name] = true
		}
	}
	return over
}

// weight returns a team's weight; work that belongs to no team counts as one team of weight 1.
func (planner *Planner) weight(name string) float64 {
	if info, found := planner.catalog.Teams[name]; found && info.Weight > 0 {
		return info.Weight
	}
	return 1
}
