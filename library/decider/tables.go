package decider

import (
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

// WorkerInfo describes a worker by the platform's host list and the configuration.
type WorkerInfo struct {
	Name     string
	Address  string
	Rack     string
	Capacity sizer.Size
	Leaving  bool // set by the host list or an operator; the worker gets no new tasks
}

// Worker is one row of the worker table.
type Worker struct {
	WorkerInfo
	Claimed    bool   // the last report confirmed the decider's term
	Boot       string // boot ID in the last report
	Clock      int64  // worker's clock at ReportedAt, milliseconds since its boot
	ReportedAt time.Time
	Sequence   int64            // of the last report; the next claim requests later changes
	LeaseEnd   int64            // end of the last lease renewal, on the worker's clock
	Granted    sizer.Size       // total size of Tasks
	Tasks      map[string]*Task // granted and running tasks, by task ID

	rebootedAt time.Time // when a changed boot ID was first reported
	health     Health
	reserved   *reservation
	toForget   []string // IDs of ended tasks that the next claim releases
}

// Free returns the capacity that is not granted to tasks.
func (worker *Worker) Free() sizer.Size {
	return worker.Capacity.Sub(worker.Granted)
}

// Usable reports whether the worker is claimed, not leaving and not quarantined.
func (worker *Worker) Usable(now time.Time) bool {
	return worker.Claimed && !worker.Leaving && worker.health.usable(now)
}

// clockLowerBound returns the lowest reading that the worker's clock can show now, in milliseconds since
// its boot, given the last reported reading and the maximum clock drift.
func (worker *Worker) clockLowerBound(now time.Time) int64 {
	elapsed := now.Sub(worker.ReportedAt).Milliseconds()
	return worker.Clock + elapsed - elapsed/clockDriftDivisor
}

// leaseExpired reports whether a lease that ends at the given reading of the worker's clock has expired, even
// under the maximum clock drift and with leaseGuardMS to spare.
func (worker *Worker) leaseExpired(end int64, now time.Time) bool {
	return worker.clockLowerBound(now) > end+leaseGuardMS
}

const (
	clockDriftDivisor = 100 // a worker's clock drifts by at most 1 ms in 100 ms

	// leaseGuardMS is added to the end of a lease, as a worker that resumes from a pause may still execute the
	// instruction at which it was paused.
	leaseGuardMS = 500
)

// TeamInfo describes a team by the configuration and the limit ledger.
type TeamInfo struct {
	Name  string
	Share float64    // weight in fair sharing
	Slice sizer.Size // part of the team's limit that the zone may use
	Limit sizer.Size // the team's limit; Slice bounds only the resources that are not 0 here
}

// Team is one row of the team table.
type Team struct {
	TeamInfo
	Used         sizer.Size // total size of the granted and running tasks in the zone
	QueuedTasks  int        // number of queued tasks
	QueuedSize   sizer.Size // total size of the queued tasks
	AverageShare float64    // dominant share, averaged with half-life Settings.ShareHalfLife
}

// hasRoom reports whether a task of the given size fits into the team's slice. The capacity of unclaimed
// workers counts as used, as tasks of the team may run there unreported.
func (team *Team) hasRoom(size, unclaimedCapacity sizer.Size) bool {
	after := team.Used.Add(unclaimedCapacity).Add(size)
	return withinSlice(after.MilliCores, team.Slice.MilliCores, team.Limit.MilliCores) &&
		withinSlice(after.MemoryMB, team.Slice.MemoryMB, team.Limit.MemoryMB) &&
		withinSlice(after.Accelerators, team.Slice.Accelerators, team.Limit.Accelerators)
}

func withinSlice(amount, slice, limit int64) bool {
	return limit == 0 || amount <= slice
}

// ServiceInfo describes a service by the configuration.
type ServiceInfo struct {
	Name      string
	Placement Placement
	RunTime   time.Duration // declared run time of a task
	Serves    func(worker string) bool
}

// Placement is a strategy for choosing among the workers of a service.
type Placement string

// The placements.
const (
	Pack   Placement = "pack"   // the fullest worker
	Spread Placement = "spread" // the worker with the fewest tasks of the service
	Fast   Placement = "fast"   // the fastest worker, with a preference for less utilized ones
)

// Service is one row of the service table.
type Service struct {
	ServiceInfo
	workers     []*Worker         // workers that serve it, ordered by name
	queuedTasks [Standing + 1]int // number of queued tasks by class
	statistics  Statistics
}

// Settings holds the decider's timeouts and delays.
type Settings struct {
	StartTimeout      time.Duration // time after the grant within which the start must reach the worker
	TaskLeaseDuration time.Duration // length of a task's lease from the grant or a renewal
	AgingInterval     time.Duration // queueing time that raises work by one class
	ReservationDelay  time.Duration // queueing time after which blocked work reserves a worker
	PreemptionDelay   time.Duration // queueing time after which urgent work preempts; five times this for interactive work
	ShareHalfLife     time.Duration // half-life of a team's average share
}

// DefaultSettings returns the settings for the target size of docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		StartTimeout:      2 * time.Second,
		TaskLeaseDuration: 40 * time.Second,
		AgingInterval:     5 * time.Minute,
		ReservationDelay:  3 * time.Second,
		PreemptionDelay:   100 * time.Millisecond,
		ShareHalfLife:     10 * time.Minute,
	}
}

// Effect is an action that the caller of Tick has to carry out: a Start, Ended, Expired or Stop.
type Effect interface{ isEffect() }

// Start instructs the entry host that submitted a work item, or the decider's host for a task of a job, to start the
// item on the granted worker.
type Start struct {
	Work  Work
	Grant fencer.Grant
}

// Ended reports how an attempt ended.
type Ended struct {
	Work       Work
	Task       string
	Worker     string
	Ending     Ending
	Status     int // status code of the answer, 0 for none
	Checkpoint string
}

// Expired reports that a queued work item passed its deadline and was dropped without a run.
type Expired struct{ Work Work }

// Stop instructs a worker to end a task, and to write a checkpoint first if Checkpoint is set.
type Stop struct {
	Worker     string
	Address    string
	Task       string
	Term       fencer.Term
	Checkpoint bool
}

func (Start) isEffect()   {}
func (Ended) isEffect()   {}
func (Expired) isEffect() {}
func (Stop) isEffect()    {}
