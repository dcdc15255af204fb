package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/forecaster"
	"ebonyshunt.org/library/sizer"
)

// roster holds the largest workers of a service that were listed since the planner began.
type roster struct {
	since time.Time
	// sizes holds the capacities of these workers by label, without those that others exceed. The empty label stands for all.
	sizes map[string][]sizer.Size
}

// recordListed adds a listed worker to the roster of its service.
func (planner *Planner) recordListed(worker *Worker, info WorkerInfo, now time.Time) {
	if !planner.Settings.ForecastAdmission {
		return
	}
	if !worker.firstListedAt.IsZero() && worker.Service == info.Service && worker.Capacity == info.Capacity && slices.Equal(worker.Labels, info.Labels) {
		return
	}
	listed := planner.admission.rosters[info.Service]
	if listed == nil {
		listed = &roster{since: now, sizes: map[string][]sizer.Size{}}
		planner.admission.rosters[info.Service] = listed
	}
	listed.add("", info.Capacity)
	for _, label := range info.Labels {
		listed.add(label, info.Capacity)
	}
}

// add adds a capacity to those of a label, unless another one exceeds it.
func (roster *roster) add(label string, capacity sizer.Size) {
	sizes := roster.sizes[label]
	if slices.ContainsFunc(sizes, capacity.Fits) {
		return
	}
	sizes = slices.DeleteFunc(sizes, func(other sizer.Size) bool { return other.Fits(capacity) })
	roster.sizes[label] = append(sizes, capacity)
}

// unservable returns why a job can never be served under the configuration in force, or an empty cause: a task fits on no worker
// that was listed since the planner began, or is larger than the cap of its team. While the list may be incomplete, no job is
// refused.
func (planner *Planner) unservable(job *Job, queue Queue, now time.Time) RefusalCause {
	for number := range job.Steps {
		step := &job.Steps[number]
		count := int64(1)
		if step.Gang {
			count = int64(step.Count)
		}
		if team, found := planner.catalog.Teams[job.Team]; found && !withinSize(step.Size.Mul(count), team.Cap) {
			return RefusedAboveCap
		}
		roster := planner.admission.rosters[queue.Service]
		if roster == nil || now.Sub(roster.since) < forecaster.MinObserved {
			continue
		}
		if len(roster.sizes[step.Label]) == 0 {
			return RefusedLabel
		}
		if !slices.ContainsFunc(roster.sizes[step.Label], step.chargedSize().Fits) {
			return RefusedTooLarge
		}
	}
	return ""
}

// withinSize reports whether a size stays within a limit, where 0 means no limit.
func withinSize(size, limit sizer.Size) bool {
	return withinLimit(size.MilliCores, limit.MilliCores) && withinLimit(size.MemoryMB, limit.MemoryMB) && withinLimit(size.Accelerators, limit.Accelerators)
}
