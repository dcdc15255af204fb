package planner

import "time"

// Effect is something to carry out: Stop, Fence or Ask.
type Effect interface{ effect() }

// Start orders a run; it is carried out once its batch is stored, and only as Prepare then says.
type Start struct {
	Key    TaskKey
	Number int
}

// Order is a start as it is sent.
type Order struct {
	Key        TaskKey
	Number     int
	Worker     string
	Address    string
	Payload    string
	Checkpoint string
	Ticket     string
	Token      int64
	SentAt     time.Time
	Deadline   int64 // end of the lease on the worker's clock, milliseconds
}

// Stop ends a run.
type Stop struct {
	Key     TaskKey
	Number  int
	Worker  string
	Address string
	Token   int64
}

// Fence looks at a worker at once under a raised token, which settles the orders in doubt.
type Fence struct {
	Worker string
}

// Ask asks the policy service which workers may run a step.
type Ask struct {
	Step    StepKey
	Workers []string
	Costs   time.Duration // that the answer takes
	Class   time.Duration // that a question of its queue takes at most, by which its slot is chosen
}

func (Stop) effect()  {}
func (Fence) effect() {}
func (Ask) effect()   {}

// Hold is a request to a worker to keep its runs alive and to list them.
type Hold struct {
	Worker   string
	Address  string
	Token    int64
	Cursor   int64 // ends up to this number may be forgotten
	Deadline int64 // new end of the lease on the worker's clock, 0 to leave it
}

// Listing is a worker's answer to a hold.
type Listing struct {
	Token   int64 // of the hold
	SentAt  time.Time
	Born    int64
	Clock   int64
	Running []RunningRun
	Ended   []EndedRun
	Partial bool // more ends are to come
}

// RunningRun is a run that a worker has.
type RunningRun struct {
	Key        TaskKey
	Number     int
	Checkpoint string
	Percent    int
	Reading    float64 // tail of a serving run in milliseconds, processors in use of any other
}

// EndedRun is a run that ended on a worker.
type EndedRun struct {
	Sequence   int64
	Key        TaskKey
	Number     int
	Ending     Ending
	Checkpoint string
}

// Outcome is how an order was answered.
type Outcome int

// The outcomes of an order.
const (
	Taken         Outcome = iota
	Unknown               // no answer: it may be carried out, also later
	NotSent               // it surely was not carried out
	RefusedFence          // a higher token was seen
	RefusedOld            // the run number is too low
	RefusedLate           // its lease had run out
	RefusedRoom           // it does not fit
	RefusedTicket         // the policy's ticket is not valid
	RefusedBirth          // another incarnation of the worker answered
)

// String names the outcome for logs.
func (outcome Outcome) String() string {
	return [...]string{"taken", "unknown", "notSent", "fence", "old", "late", "room", "ticket", "birth"}[outcome]
}

// Batch is what one append stores, and what follows from it.
type Batch struct {
	Number  int64
	Records []Record
	Effects []Effect // to carry out at once
	Starts  []Start  // to carry out once the records are stored
	Shown   []string // jobs whose state is shown once the records are stored
	Notes   []Note   // what the tables took note of since the last batch
	states  []State
}

// Note tells of a job that ended, or of a run that ended otherwise than done.
type Note struct {
	Job    string
	Queue  string
	Team   string
	State  State // of a job that ended
	Took   time.Duration
	Task   TaskKey // of a run
	Number int
	Worker string
	Ending Ending // of a run, empty for a job
}

// Record is one keyed record of the journal; one without value forgets the key.
type Record struct {
	Key   string
	Value []byte
}
