// Package hedger decides what to do about an urgent run that is late: keep it, start a copy beside it, or move it, which
// stops it and starts its task again on another worker.
//
// A decision depends only on the facts that are passed in. See Dean and Barroso, "The Tail at Scale" (2013), on hedged
// requests, and Bronson et al., "Metastable Failures in Distributed Systems" (2021), on why the load that hedging adds
// needs a bound.
package hedger

import (
	"math"
	"time"
)

const (
	// clearFactor is the minimum ratio of the remaining time of the present run to the time that a new run takes, for a copy or
	// move. It is above 1 because the time of the new run is only an expectation: at a ratio near 1, the task would often end
	// later than without the copy or move.
	clearFactor = 1.5
	// donePercent is the percent from which on a run is kept: the last reading may be older than the rest of the run.
	donePercent = 90
	// maxEarlierHedges bounds the exponent of the patience.
	maxEarlierHedges = 16
	// maxExpected bounds the expected times.
	maxExpected = 30 * 24 * time.Hour
)

// Run describes an urgent run at the time of the decision.
type Run struct {
	Elapsed     time.Duration // time since it was ordered, or since its percent was BasePercent
	Percent     int           // percent of its work that is done, rounded down, as last read; 0 also if it is not known
	BasePercent int           // percent when Elapsed began
	ReadAge     time.Duration // time since Percent was read, part of Elapsed
	Median      time.Duration // 0.5 quantile of the run time on a worker of speed 1, 0 if not known
	P90         time.Duration // 0.9 quantile
	Speed       float64       // speed of its worker, 1 for the average
	BestSpeed   float64       // speed of the best other worker with room now, 0 if there is none
	StopTime    time.Duration // time from the decision until a stopped run has ended
	StartTime   time.Duration // time to send a new order, and to restore a checkpoint
	Checkpoints bool          // whether a stopped run resumes with the work that it has done
	MayCopy     bool          // whether a second run of the task may run beside this one
	TimeLeft    time.Duration // time until the run has to end for the job to meet its deadline, may be negative
	// OnlyLateRunsLeft reports whether all unfinished tasks of its step are in late runs, so that the step waits for nothing else.
	OnlyLateRunsLeft bool
	EarlierHedges    int           // number of copies and moves of the task so far
	EarlierRunWork   time.Duration // least work of the task according to its earlier runs, as Work returns it; 0 if unknown
	Chance           float64       // probability that a new run takes as long as expected rather than as long as this one
	Budget           time.Duration // run time of a task of this size that the budget can pay
}

// Kind is what to do about a run.
type Kind int

// The kinds of an action.
const (
	Keep Kind = iota
	Copy      // start a second run of the task beside it
	Move      // stop it and start its task on another worker
)

// String returns the kind's name for logs and metrics.
func (kind Kind) String() string { return [...]string{"keep", "copy", "move"}[kind] }

// Action is a decision with the figures that it rests on.
type Action struct {
	Kind      Kind
	Remaining time.Duration // expected time until the run ends, 0 if not known
	Restarted time.Duration // expected time until a new run ends, 0 if there is no room for one
	Price     time.Duration // run time that a copy or move adds, to take from the budget
	Reason    string        // why the run is kept, empty for other kinds
}

// Decide returns what to do about a run. It copies or moves it only if a new run is expected to end clearly earlier, the
// job is late without that, and either meets its deadline with it or waits for late runs only.
func Decide(run Run) Action {
	remaining, known := run.Remaining()
	action := Action{Remaining: remaining}
	switch {
	case run.Median <= 0:
		action.Reason = "run time not known"
	case !known:
		action.Reason = "progress not known"
	case run.Percent >= donePercent:
		action.Reason = "almost done"
	case remaining <= run.TimeLeft:
		action.Reason = "in time"
	case run.BestSpeed <= 0:
		action.Reason = "no room"
	default:
		return run.compare(action)
	}
	return action
}

// compare decides about a run that makes its job late and could run elsewhere.
func (run Run) compare(action Action) Action {
	kind := Move
	if run.MayCopy {
		kind = Copy
	}
	action.Restarted, action.Price = run.restart(kind)
	patience := clearFactor * math.Exp2(float64(min(run.EarlierHedges, maxEarlierHedges)))
	switch {
	case float64(action.Remaining) <= patience*float64(action.Restarted):
		action.Reason = "not clearly earlier"
	case action.Restarted > run.TimeLeft && !run.OnlyLateRunsLeft:
		action.Reason = "late in any case"
	case kind == Move && run.expectedAfterMove(action) >= float64(action.Remaining):
		action.Reason = "task is probably long"
	case action.Price > run.Budget:
		action.Reason = "budget is spent"
	default:
		action.Kind = kind
	}
	return action
}

// Remaining returns the expected time until the run ends, and false if nothing can be said yet. The percent that was read
// is the best predictor. A run without one is given as much time again once it is beyond its 0.9 quantile.
func (run Run) Remaining() (time.Duration, bool) {
	if run.Percent <= 0 || run.Percent < run.BasePercent {
		return run.Elapsed, run.Elapsed > run.P90
	}
	// As the percent is rounded down, up to one more is done; a run that has just begun would appear to be late otherwise.
	done := float64(run.Percent + 1 - run.BasePercent)
	left := float64(max(100-run.Percent-1, 0))
	atReading := scaled(max(run.Elapsed-run.ReadAge, 0), left/done)
	if run.ReadAge > atReading {
		return 0, true
	}
	return atReading - run.ReadAge, true
}

// Work returns the run time that the whole task would have on a worker of speed 1, judged by this run alone, and false if
// nothing can be said yet. It is too much if the worker is slower than Speed.
func (run Run) Work() (time.Duration, bool) {
	remaining, known := run.Remaining()
	if !known {
		return 0, false
	}
	part := max(float64(100-run.BasePercent)/100, 0.01)
	return scaled(run.Elapsed+remaining, max(run.Speed, 0)/part), true
}

// expectedAfterMove returns the expected time until a moved run ends, in nanoseconds. If it takes as long as this one, what
// this one has done is lost.
func (run Run) expectedAfterMove(action Action) float64 {
	again := action.Remaining + action.Price
	return run.Chance*float64(action.Restarted) + (1-run.Chance)*float64(again)
}

// restart returns how long a new run is expected to take from now on, and the run time that it adds to the load.
func (run Run) restart(kind Kind) (duration, price time.Duration) {
	work := run.Median
	if run.EarlierRunWork > 0 {
		// Two runs on different workers that both take long show that the task does.
		if seen, known := run.Work(); known {
			work = max(work, min(seen, run.EarlierRunWork))
		}
	}
	if kind == Copy {
		duration = run.StartTime + scaled(work, 1/run.BestSpeed)
		return duration, duration
	}
	wasted := run.Elapsed
	if run.Checkpoints {
		work = scaled(work, float64(100-run.Percent)/100)
		wasted = 0
	}
	overhead := run.StopTime + run.StartTime
	return overhead + scaled(work, 1/run.BestSpeed), overhead + wasted
}

// scaled returns a duration times a factor, at most maxExpected.
func scaled(duration time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(duration)*factor, float64(maxExpected)))
}
