package scheduler

import "ebonyshunt.org/library/planner"

// logMoves logs the runs of standing steps that are stopped to start on other workers.
func (tenure *tenure) logMoves(moves []planner.Move) {
	for _, move := range moves {
		tenure.host.log.Info("standing task moves", "task", move.Task.String(), "run", move.Number, "worker", move.Worker, "target", move.Target,
			"leaving", move.Leaving, "leavesIn", move.LeavesIn.String(), "unavailable", move.Unavailable, "budget", move.Budget)
	}
}

// logStaying logs why runs of standing steps stay on workers that leave.
func (tenure *tenure) logStaying(staying []planner.StayingRun) {
	for _, run := range staying {
		tenure.host.log.Info("standing task stays", "task", run.Task.String(), "run", run.Number, "worker", run.Worker,
			"leavesIn", run.LeavesIn.String(), "reason", run.Reason, "unavailable", run.Unavailable, "budget", run.Budget,
			"workers", run.Workers, "asked", run.QueryOpen)
	}
}
