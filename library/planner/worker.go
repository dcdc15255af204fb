package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// WorkerInfo is what a worker says of itself through the platform's list.
type WorkerInfo struct {
	ID       string
	Machine  string
	Service  string
	Address  string
	Zone     string
	Labels   []string
	Capacity sizer.Size
	Draining bool
	LeavesIn time.Duration // least time left, while draining
	Born     int64         // Unix milliseconds of its start, 0 where it is not known
}

// Worker is one row of the worker table.
type Worker struct {
	WorkerInfo
	Listed   bool // in the platform's list
	Looked   bool // its runs were read in this term
	Token    int64
	Cursor   int64 // highest end that was read
	Durable  int64 // highest end that is stored and may be acknowledged
	Used     sizer.Size
	Runs     map[TaskKey]*Run
	Quiet    time.Time // of its last answer
	DrainsAt time.Time // when its draining was first seen

	anew      bool  // started anew, and not looked at since
	clock     int64 // worker's clock at clockAt, milliseconds
	clockAt   time.Time
	leasedTo  int64     // latest end of a lease that was asked for, on the worker's clock
	deadAfter time.Time // by when every lease has run out, while the worker is not looked at
	lostAt    time.Time // since when it is not looked at
	recorded  time.Time // its lapse as it is recorded, zero where it is not
	stored    time.Time // lapse that an earlier planner recorded
	voidBatch int64     // that stores that a recorded lapse is void
	unlisted  time.Time // when it left the list
	pending   []pendingEnd
	strangers int // runs that the tables do not know
	health    health
	serving   int // runs that serve users of their own
	fillers   int
}

type pendingEnd struct{ number, batch int64 }

// Run is one start of a task on a worker.
type Run struct {
	Key      TaskKey
	Number   int
	Worker   string
	Born     int64
	Size     sizer.Size
	Token    int64     // under which it was ordered last
	Began    time.Time // of the order
	Started  bool      // answered or listed
	Answered time.Time // when the start was answered
	Stopping bool
	StopSent time.Time
	Percent  int // of its work, as last listed
	Moved    time.Time
	Filler   bool
	Serving  bool
	Urgent   bool
}

const (
	// driftDivisor bounds the drift of a worker's clock to 1 in 50.
	driftDivisor = 50
	// lapseGuard is waited beyond the computed end of a lease.
	lapseGuard = 300 * time.Millisecond
)

// clockAtLeast returns a lower bound of the worker's clock at a time.
func (worker *Worker) clockAtLeast(now time.Time) int64 {
	elapsed := now.Sub(worker.clockAt).Milliseconds()
	return worker.clock + elapsed - max(elapsed, 0)/driftDivisor
}

// observe takes a reading of the worker's clock.
func (worker *Worker) observe(clock int64, now time.Time) {
	worker.clock, worker.clockAt, worker.Quiet = clock, now, now
}

// lapsedAt returns when every lease on the worker has surely run out.
func (worker *Worker) lapsedAt() time.Time {
	switch {
	case !worker.Looked && !worker.stored.IsZero() && worker.stored.Before(worker.deadAfter):
		return worker.stored
	case !worker.Looked:
		return worker.deadAfter
	}
	left := max(worker.leasedTo-worker.clock, 0)
	return worker.clockAt.Add(time.Duration(left+left/(driftDivisor-1)) * time.Millisecond).Add(lapseGuard)
}

// lose takes note that what runs on the worker is no longer known. Until a look under the raised token
// tells, its runs count for as long as their leases may last.
func (worker *Worker) lose() {
	worker.deadAfter = worker.lapsedAt()
	worker.Looked = false
	worker.Token++
}

// Free returns what is not in use.
func (worker *Worker) Free() sizer.Size { return worker.Capacity.Sub(worker.Used) }

func (worker *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(worker.Labels, label)
}

// charge is what a step's task takes of a worker's capacity.
func (step *Step) charge() sizer.Size {
	size := step.Size
	if step.Filler {
		size.MilliCores = 0
	}
	return size
}

func (worker *Worker) add(run *Run) {
	worker.Runs[run.Key] = run
	worker.Used = worker.Used.Add(run.Size)
	if run.Serving {
		worker.serving++
	}
	if run.Filler {
		worker.fillers++
	}
}

func (worker *Worker) remove(run *Run) {
	if worker.Runs[run.Key] != run {
		return
	}
	delete(worker.Runs, run.Key)
	worker.Used = worker.Used.Sub(run.Size)
	if run.Serving {
		worker.serving--
	}
	if run.Filler {
		worker.fillers--
	}
}
