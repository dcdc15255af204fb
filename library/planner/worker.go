package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/blamer"
	"ebonyshunt.org/library/lessor"
	"ebonyshunt.org/library/sizer"
)

// WorkerInfo is a worker's registration in the platform's list.
type WorkerInfo struct {
	ID          string
	Machine     string
	Service     string
	Address     string
	Zone        string
	Labels      []string
	Capacity    sizer.Size
	Draining    bool
	LeavesIn    time.Duration // minimum time until it leaves, as of this registration, while draining
	ColdLeft    time.Duration // time for which it is still slow, as of this registration
	Incarnation int64         // start of its incarnation in Unix milliseconds, 0 if unknown
}

// Equal reports whether two registrations say the same.
func (workerInfo WorkerInfo) Equal(other WorkerInfo) bool {
	return workerInfo.ID == other.ID && workerInfo.Machine == other.Machine && workerInfo.Service == other.Service &&
		workerInfo.Address == other.Address && workerInfo.Zone == other.Zone && slices.Equal(workerInfo.Labels, other.Labels) &&
		workerInfo.Capacity == other.Capacity && workerInfo.Draining == other.Draining && workerInfo.LeavesIn == other.LeavesIn &&
		workerInfo.ColdLeft == other.ColdLeft && workerInfo.Incarnation == other.Incarnation
}

// Worker is a row of the worker table.
type Worker struct {
	WorkerInfo
	Listed bool // whether it is in the platform's list
	// RunsKnown reports whether the worker answered a poll under its current fencing token, so that its runs are
	// known.
	RunsKnown bool
	Token     int64 // current fencing token
	// Cursor is the highest sequence number of an ended run that was read from the worker.
	Cursor int64
	// AckCursor is the highest sequence number of an ended run whose consequences are stored. Polls acknowledge
	// ended runs up to it.
	AckCursor  int64
	Used       sizer.Size
	Runs       map[TaskKey]*Run
	AnsweredAt time.Time // time of its last answer

	// firstListedAt is when this planner first found it in the platform's list, zero before.
	firstListedAt    time.Time
	leavesAt         time.Time     // earliest time at which it leaves, valid while it drains
	coldUntil        time.Time     // end of its warm-up, in the past for a warm worker
	warmUpTime       time.Duration // duration of that warm-up, see noteCold
	restarted        bool          // whether it restarted and its runs were not read since
	leases           lessor.Leases // by when its leases have expired
	runsUnknownSince time.Time
	silenceReported  bool // whether a SilenceEvent tells that its runs are not known
	// recordedExpiry holds the lease expiries in the worker's journal record, zero without a record.
	recordedExpiry   lessor.Bounds
	expiryRecordedAt time.Time // when that record was written
	// expiryDropBatch is the number of the batch that removes the worker's journal record.
	expiryDropBatch int64
	unlistedSince   time.Time
	pendingEnds     []pendingEnd // in the order of their sequence numbers
	unknownRuns     int          // number of listed runs that are not open in the tables
	health          health
	standingSize    sizer.Size // total size of the runs of standing steps
	servingRuns     int        // number of runs that serve requests of users
	fillerRuns      int
	standingServing int // number of the serving runs that are standing
	standingFillers int
	// fillersBarredUntil is until when it gets no fillers, since some were stopped there for a serving task.
	fillersBarredUntil time.Time
	replaced           bool             // whether its machine has started anew as another worker
	lostTasks          []TaskKey        // tasks with runs that were lost on it, and of which it is not known whether it crashed
	isolation          blamer.Isolation // until when it takes no others beside its suspects
	readRequestedAt    time.Time        // when a Reading of it was last requested
	reservedPass       int64            // number of the last placement pass in which it was reserved for a blocked step
	poolPass           int64            // number of the last placement pass in which the worker accepted runs
}

// pendingEnd is an ended run that is acknowledged once a batch is stored.
type pendingEnd struct{ sequence, batch int64 }

// Run is one start of a task on a worker.
type Run struct {
	Key         TaskKey
	Number      int
	Worker      string
	Incarnation int64 // WorkerInfo.Incarnation when it was placed, or after the last restart of its worker
	Size        sizer.Size
	Token       int64 // fencing token of its last order
	OrderedAt   time.Time
	Sent        bool      // whether its order may have been sent
	InFlight    bool      // whether its order has no outcome yet, and may still be sent, see also former_orders.go
	Confirmed   bool      // whether the worker accepted the order or listed the run
	ConfirmedAt time.Time // when the acceptance, or the listing that first showed the run, arrived
	Stopping    bool
	StopSentAt  time.Time
	Percent     int       // share of its work that is done, as last listed
	ProgressAt  time.Time // when it was placed, ordered, or confirmed, or when Percent last grew
	Filler      bool
	Serving     bool
	Standing    bool // whether its step is standing
	Urgent      bool // whether its queue has the highest priority and its step is not standing
	Suspicion   int  // suspicion of its task when it was placed
	loss        *blamer.Loss
	// answered reports whether its worker accepted its order or listed it, on any incarnation. The journal does not tell it of restored
	// runs.
	answered bool
	// sound reports whether its step is standing and it ran long enough, see blamer.Sound. The journal tells it of restored runs.
	sound bool
	// shown reports whether the worker's life with Incarnation listed it, or certainly accepted its order.
	shown bool
	// settled reports whether it was shown by a life whose leases last no longer than usual. The journal tells it of restored runs.
	settled bool

	placedAt        time.Time   // when it was placed, or restored
	stopRequestedAt time.Time   // when its stop was first requested, zero before
	readAt          time.Time   // when its worker last listed it, zero before
	basePercent     int         // Percent at basedAt, 0 if basedAt is zero
	basedAt         time.Time   // first reading of a run of an earlier planner, zero for others
	learning        runLearning // see runtimes.go
	charged         stepAccount // account that it is charged to, if teams have shares of each service
	yields          bool        // whether it may be stopped to give room back
	savedAt         time.Time   // when its last checkpoint was listed, or when it was placed
}

// recordClock stores a reading of the worker's clock, in milliseconds, from an answer that was received at now.
func (worker *Worker) recordClock(clockMS int64, now time.Time) {
	worker.leases.ReadClock(clockMS, now)
	worker.AnsweredAt = now
}

// leasesExpireAt returns the time by which the leases have expired that a run on the worker may have.
func (worker *Worker) leasesExpireAt(run *Run) time.Time { return worker.leases.Expiry(run.sight()).At }

// leaseBounds returns the times by which the leases on the worker have expired. They are the same if the worker has shown all of its runs.
func (worker *Worker) leaseBounds() lessor.Bounds {
	known := worker.leases.Known().At
	bounds := lessor.Bounds{Known: known, Unknown: known}
	for _, run := range worker.Runs {
		if expireAt := worker.leasesExpireAt(run); run.Sent && expireAt.After(bounds.Unknown) {
			bounds.Unknown = expireAt
		}
	}
	return bounds
}

// invalidateRuns marks the worker's runs as unknown and raises its fencing token. Until the worker answers a poll
// under the raised token, its runs count as open for as long as their leases may last.
func (worker *Worker) invalidateRuns() {
	worker.RunsKnown = false
	worker.Token++
}

// timeUntilLeaving returns the minimum time until a draining worker leaves, negative once that has passed.
func (worker *Worker) timeUntilLeaving(now time.Time) time.Duration {
	return worker.leavesAt.Sub(now)
}

// Free returns the capacity that is not in use.
func (worker *Worker) Free() sizer.Size { return worker.Capacity.Sub(worker.Used) }

// stillFits reports whether a run that is counted in Used fits beside the others: the listed capacity may have shrunk since
// the run was placed.
func (worker *Worker) stillFits(run *Run) bool { return run.Size.Fits(worker.Free().Add(run.Size)) }

// hasLabel reports whether the worker carries a label. An empty label matches every worker.
func (worker *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(worker.Labels, label)
}

// chargedSize returns what a task of the step takes of a worker's capacity. A filler uses only processors that
// other runs leave idle, so none are charged for it.
func (step *Step) chargedSize() sizer.Size {
	size := step.Size
	if step.Filler {
		size.MilliCores = 0
	}
	return size
}

func (worker *Worker) addRun(run *Run) {
	worker.Runs[run.Key] = run
	worker.Used = worker.Used.Add(run.Size)
	if run.Standing {
		worker.standingSize = worker.standingSize.Add(run.Size)
	}
	worker.countSharing(run, 1)
	worker.beginTrial(run)
}

func (worker *Worker) removeRun(run *Run) {
	if worker.Runs[run.Key] != run {
		return
	}
	delete(worker.Runs, run.Key)
	worker.Used = worker.Used.Sub(run.Size)
	if run.Standing {
		worker.standingSize = worker.standingSize.Sub(run.Size)
	}
	worker.countSharing(run, -1)
	worker.endTrial(run)
}

// countSharing adds a run a number of times to the counts of runs that do not share a worker.
func (worker *Worker) countSharing(run *Run, times int) {
	if run.Serving {
		worker.servingRuns += times
	}
	if run.Filler {
		worker.fillerRuns += times
	}
	if run.Serving && run.Standing {
		worker.standingServing += times
	}
	if run.Filler && run.Standing {
		worker.standingFillers += times
	}
}
