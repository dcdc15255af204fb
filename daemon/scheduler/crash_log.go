package scheduler

import "ebonyshunt.org/library/planner"

// maxLoggedSuspects limits the suspects that the line of a crash names.
const maxLoggedSuspects = 16

// logCrashes logs each crash of a worker with the tasks that ran there, and each task that is given up for its crashes.
func (tenure *tenure) logCrashes(crashes []planner.CrashEvent) {
	for _, crash := range crashes {
		suspects := make([]string, 0, maxLoggedSuspects)
		for _, suspect := range crash.Suspects {
			if len(suspects) < maxLoggedSuspects {
				suspects = append(suspects, suspect.Task.String())
			}
			if suspect.GivenUp {
				tenure.host.log.Info("task given up", "task", suspect.Task.String(), "run", suspect.Number, "worker", crash.Worker,
					"crashes", suspect.Crashes, "unanswered", suspect.Unanswered, "alone", suspect.Alone)
			}
		}
		tenure.host.log.Info("worker crashed", "worker", crash.Worker, "suspects", len(crash.Suspects), "tasks", suspects)
	}
}
