package planner

import "time"

// Effect is a request to a worker or to the policy service: Stop, Fence, Reading or PolicyQuery.
type Effect interface{ effect() }

// Start is the request to order a run. It is carried out once its batch is stored, with the order that PrepareOrder
// then returns.
type Start struct {
	Key    TaskKey
	Number int
}

// Order is a start as it is sent to a worker.
type Order struct {
	Key        TaskKey   `json:"key"`
	Number     int       `json:"number"`
	Worker     string    `json:"worker"`
	Address    string    `json:"address"`
	Payload    string    `json:"payload,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Ticket     string    `json:"ticket,omitempty"`
	Token      int64     `json:"token"`
	SentAt     time.Time `json:"-"`
	DeadlineMS int64     `json:"deadlineMS"` // end of the lease in milliseconds of the worker's clock
}

// Stop requests the end of a run.
type Stop struct {
	Key     TaskKey
	Number  int
	Worker  string
	Address string
	Token   int64
}

// Fence requests an immediate poll of a worker under its raised fencing token. The worker then refuses orders that
// were sent under a lower token, so that its answer shows finally which orders were carried out.
type Fence struct {
	Worker string
}

// Reading requests a poll of a worker that lists its runs at once, beside the poll that may wait for an end. Without an
// answer nothing is known: it is not repeated, and the worker does not count as unresponsive.
type Reading struct {
	Worker string
}

// PolicyQuery asks the policy service which of the workers may run a step.
type PolicyQuery struct {
	ID            int64 // unique within the planner
	Step          StepKey
	Workers       []string
	AnswerTime    time.Duration // expected time to the answer
	MaxAnswerTime time.Duration // maximum time to the answer of a query of its queue; compared with MaxShortQuery
}

func (Stop) effect()        {}
func (Fence) effect()       {}
func (Reading) effect()     {}
func (PolicyQuery) effect() {}

// Poll is a request to a worker to renew the lease of its runs, to list them, and to list ended runs. The worker may
// delay its answer until a run ends.
type Poll struct {
	Worker     string `json:"worker"`
	Address    string `json:"address"`
	Token      int64  `json:"token"`
	AckCursor  int64  `json:"ackCursor"`            // acknowledged sequence number: the worker may drop ended runs up to it
	DeadlineMS int64  `json:"deadlineMS,omitempty"` // new end of the lease in milliseconds of the worker's clock, 0 to leave it unchanged
}

// Listing is a worker's answer to a poll.
type Listing struct {
	Token       int64     // fencing token of the poll
	SentAt      time.Time // when the poll was sent
	Incarnation int64     // start of the worker's incarnation in Unix milliseconds, 0 if unknown
	ClockMS     int64     // worker's clock in milliseconds
	Running     []RunningRun
	Ended       []EndedRun
	Partial     bool // whether the listing is incomplete because more ended runs follow
}

// RunningRun is a run that a worker lists as running.
type RunningRun struct {
	Key         TaskKey
	Number      int
	Checkpoint  string
	Percent     int     // share of its work that is done
	Measurement float64 // tail latency of a serving run in milliseconds; processors in use by any other run
}

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	Sequence   int64 // number of the end in the order of the worker's ended runs
	Key        TaskKey
	Number     int
	Ending     Ending
	Checkpoint string
}

// Outcome is the result of sending an order.
type Outcome int

// The outcomes of an order.
const (
	Accepted           Outcome = iota // the worker accepted the order
	Unknown                           // no answer: the order may be carried out, even later
	NotSent                           // the order did not reach the worker and is not carried out
	RefusedFence                      // refused: the worker has seen a higher fencing token
	RefusedRunNumber                  // refused: the run number is too low
	RefusedExpired                    // refused: the lease has expired
	RefusedCapacity                   // refused: the run does not fit
	RefusedTicket                     // refused: the policy's ticket is not valid
	RefusedIncarnation                // refused: another incarnation of the worker answered
	Dropped                           // not sent, since the time to send it was over: it is not carried out
)

// String returns the outcome's word in the log's lines start and stop and in the metric ebonyshunt_starts_total. The words are
// listed in OPERATIONS.md and stay as they are. They are not read from any answer: the platform's reasons, some of which are
// the same words, are compared in platform/translator only.
func (outcome Outcome) String() string {
	return [...]string{"taken", "unknown", "notSent", "fence", "old", "late", "room", "ticket", "birth", "dropped"}[outcome]
}

// Batch is what one append to the journal stores, with the effects and starts that belong to it.
type Batch struct {
	Number  int64 // 0 without records
	Records []Record
	Effects []Effect   // to carry out immediately
	Starts  []Start    // to carry out once the records are stored
	JobIDs  []string   // IDs of the jobs whose progress the records store
	Events  []EndEvent // jobs and runs that ended since the last batch
	Crashes []CrashEvent
	// Restarts and Silences are the workers that restarted, and those with runs that do not answer or whose leases have expired.
	Restarts []RestartEvent
	Silences []SilenceEvent
	Hedges   []HedgeEvent // copies and moves of late runs, and their outcomes
	// Calibrations says, with Settings.LearnRunTimes, how often expectations held for the runs that were done since the last
	// batch, by queue.
	Calibrations []Calibration
	// GiveBacks are the runs that were stopped since the last batch to give room back.
	GiveBacks []GiveBack
	// Moves are the runs that were stopped since the last batch to leave draining workers and drained zones.
	Moves  []Move
	states []State // states of the jobs of JobIDs, which State returns once the records are stored
}

// EndEvent describes the end of a job, or the end of a run with another ending than EndedDone, for logs and metrics.
type EndEvent struct {
	Job      string
	Queue    string
	Team     string
	State    State         // state of a job that ended, empty for a run
	Duration time.Duration // time since the job was accepted, or since the run was ordered
	Task     TaskKey       // task of a run, as are the following fields
	Number   int
	Worker   string
	Ending   Ending // empty for a job
	// Expected is the expected run time of the longest chain of steps of a job that ended, and ExpectedRuns the smallest
	// number of earlier runs behind the expectation of a step. Both are 0 without Settings.LearnRunTimes.
	Expected     time.Duration
	ExpectedRuns int
}

// Record is one keyed record of the journal. A record without a value deletes the key.
type Record struct {
	Key   string
	Value []byte
}
