package scheduler

import "time"

// passPacer spaces the placement passes of the planner. Batches that callers wait for are stored more often than that, without
// a pass in between.
type passPacer struct {
	beganAt time.Time     // of the latest pass
	took    time.Duration // of the latest pass
}

// passShareDivisor bounds the share of the time that passes take to one in that many, as long as they are short against
// batchInterval. On large fleets a pass takes milliseconds, and what it finds changes little within a few more.
const passShareDivisor = 5

// wait returns how long to wait for the next pass, 0 or less if it is due.
func (passPacer *passPacer) wait(now time.Time) time.Duration {
	return min(passShareDivisor*passPacer.took, batchInterval) - now.Sub(passPacer.beganAt)
}

// record records a pass.
func (passPacer *passPacer) record(beganAt time.Time, took time.Duration) {
	passPacer.beganAt, passPacer.took = beganAt, took
}
