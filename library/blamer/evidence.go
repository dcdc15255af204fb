// Package blamer finds the tasks that crash workers and the workers that fail tasks, and keeps suspects apart.
//
// A task may crash every worker that starts it. A crash is certain only once the worker is back as another incarnation, or
// its machine as another worker. It counts against all tasks whose runs were lost in it, since nothing tells which of them
// caused it. These suspects start again apart from each other (see Isolation), so that the next crash tells more. What ran
// where, and which workers crashed, is known to the caller.
package blamer

import (
	"slices"
	"time"
)

const (
	// MaxCrashes is the number of crashes of workers under a task after which it is given up.
	MaxCrashes = 3
	// maxCrashesAlone is the same number if nothing else ran on the worker that crashed last.
	maxCrashesAlone = 2
	// maxUnansweredCrashes is the same number if crashes of workers that did not answer the task's order count too: such a worker may
	// have crashed before the order arrived.
	maxUnansweredCrashes = 5
	// maxHoldTime is how long a task is held after each run that was lost. Most workers that crash are back before.
	maxHoldTime = 3 * time.Second
	// soundRunTime is the run time of a standing task after which a crash of its worker is no evidence against it.
	soundRunTime = 30 * time.Second
)

// Loss is a run that was on a worker that fell silent or crashed.
type Loss struct {
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born,omitempty"` // incarnation of the worker on which the run was placed, 0 if not known
	Number      int    `json:"number"`         // number of the run
	// Alone reports whether no run of another step, or of another task that is not in the same gang, was on the worker.
	Alone      bool `json:"alone,omitempty"`
	Sound      bool `json:"sound,omitempty"`      // whether its task is standing and ran long enough, see Sound
	Unanswered bool `json:"unanswered,omitempty"` // whether the worker did not answer the order, and may never have had the run
	// ClosedAt is when the run was closed without it being known whether the worker crashed, or when it was restored.
	ClosedAt time.Time `json:"-"`
}

// Sound reports whether a standing task has run for so long that a crash of its worker is no evidence against it.
func Sound(runTime time.Duration) bool { return runTime >= soundRunTime }

// Restarted reports whether a worker has certainly started anew between two of its incarnations. 0 stands for one that is not
// known.
func Restarted(former, current int64) bool {
	return former != 0 && current != 0 && former != current
}

// Evidence is what counts against a task, or may do so.
type Evidence struct {
	Crashes int // number of crashes of workers that count against it
	// Unanswered is the number of crashes of workers that did not answer its order.
	Unanswered int
	// Lost holds its runs on workers that fell silent and were not heard of since.
	Lost []Loss
}

// Verdict is what a crash says about a task.
type Verdict int

// The verdicts on a task after a crash of its worker.
const (
	Cleared   Verdict = iota // it ran for long and has no crashes to its account any more
	Suspected                // it may have caused the crash
	GivenUp                  // it is not started again
)

// Count counts a crash against a task. The lost runs, of which it is not known whether their workers crashed, do not count.
func (evidence *Evidence) Count(loss Loss) Verdict {
	if loss.Sound {
		evidence.Crashes, evidence.Unanswered = 0, 0
		return Cleared
	}
	if loss.Unanswered {
		evidence.Unanswered++
	} else {
		evidence.Crashes++
	}
	if givesUp(evidence.Crashes, evidence.Unanswered) || loss.Alone && !loss.Unanswered && evidence.Crashes >= maxCrashesAlone {
		return GivenUp
	}
	return Suspected
}

// Suspicion returns the number of crashes that count against a task, or may do so: a lost run counts until its worker is heard
// of again.
func (evidence *Evidence) Suspicion() int {
	answered, unanswered := evidence.counts()
	return answered + unanswered
}

// Holds reports whether a task waits until it is known what became of the workers that fell silent under it: it would be given
// up if all of them had crashed. They may be cut off, so that it waits no longer than maxHoldTime for them, unless as many as
// maxUnansweredCrashes may have crashed.
func (evidence *Evidence) Holds(now time.Time) bool {
	answered, unanswered := evidence.counts()
	if !givesUp(answered, unanswered) {
		return false
	}
	return answered+unanswered >= maxUnansweredCrashes || slices.ContainsFunc(evidence.Lost, func(loss Loss) bool {
		return now.Sub(loss.ClosedAt) < maxHoldTime
	})
}

// counts returns the numbers of crashes that count against a task, or may do so: those of workers that answered the task's order,
// and those of the others.
func (evidence *Evidence) counts() (answered, unanswered int) {
	answered, unanswered = evidence.Crashes, evidence.Unanswered
	for _, loss := range evidence.Lost {
		if loss.Unanswered {
			unanswered++
		} else {
			answered++
		}
	}
	return answered, unanswered
}

// givesUp reports whether crashes are enough to give a task up, whatever else ran on the workers.
func givesUp(answered, unanswered int) bool {
	return answered >= MaxCrashes || answered+unanswered >= maxUnansweredCrashes
}

// TakeLost removes the runs that were lost on a worker, and returns them in the order in which they were lost.
func (evidence *Evidence) TakeLost(worker string) []Loss {
	var taken, kept []Loss
	for _, loss := range evidence.Lost {
		if loss.Worker == worker {
			taken = append(taken, loss)
		} else {
			kept = append(kept, loss)
		}
	}
	evidence.Lost = kept
	return taken
}

// Weaken marks the runs that were lost on a worker as not alone there.
func (evidence *Evidence) Weaken(worker string) {
	for index := range evidence.Lost {
		if evidence.Lost[index].Worker == worker {
			evidence.Lost[index].Alone = false
		}
	}
}
