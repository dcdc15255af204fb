package blamer

import "time"

const (
	// MaxIsolationWait is how long a step waits for workers without suspects before its suspects start beside others.
	MaxIsolationWait = time.Second
	// suspectTime is how long after its start a run of a suspect is kept apart from others.
	suspectTime = time.Second
	// isolatedFrom is the suspicion from which on a task's worker takes no other runs for suspectTime.
	isolatedFrom = 2
	// neighborCost is added to the cost of a worker for a suspect, for each run that the next crash would take along.
	neighborCost = 0.5
)

// Isolation is until when a worker takes no others beside the suspects that it has. The zero value is that of a worker without
// suspects.
type Isolation struct {
	suspectsUntil time.Time // until when it takes no other suspect, zero while it has none
	runsUntil     time.Time // until when it takes no other run
}

// Begin keeps other suspects, or all other runs, off a worker that gets a run of a task with the given suspicion.
func (isolation *Isolation) Begin(suspicion int, startedAt time.Time) {
	if suspicion == 0 {
		return
	}
	until := startedAt.Add(suspectTime)
	if until.After(isolation.suspectsUntil) {
		isolation.suspectsUntil = until
	}
	if suspicion >= isolatedFrom && until.After(isolation.runsUntil) {
		isolation.runsUntil = until
	}
}

// FromSuspects reports whether a run of a suspect was put on the worker less than suspectTime ago, so that it takes no others.
func (isolation *Isolation) FromSuspects(now time.Time) bool {
	return now.Before(isolation.suspectsUntil)
}

// FromRuns reports whether the worker takes no runs beside the suspect that it has.
func (isolation *Isolation) FromRuns(now time.Time) bool { return now.Before(isolation.runsUntil) }

// OnTrial reports whether a run is one of a suspect that started less than suspectTime ago.
func OnTrial(suspicion int, startedAt, now time.Time) bool {
	return suspicion > 0 && now.Before(startedAt.Add(suspectTime))
}

// NeighborCost returns the part of a worker's cost for a suspect that depends on the number of runs beside it.
func NeighborCost(runs int) float64 { return neighborCost * float64(runs) }
