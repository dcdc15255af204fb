package decider

import (
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

// WorkerInfo is what the platform's list and the configuration say of a worker.
type WorkerInfo struct {
	Name     string
	Address  string
	Rack     string
	Capacity sizer.Size
	Leaving  bool // by the list or by the operators; takes no new work
}

// Worker is one row of the worker table.
type Worker struct {
	WorkerInfo
	Claimed  bool   // under the decider's term
	Boot     string // as last reported
	Clock    int64  // worker's clock at ClockAt, milliseconds
	ClockAt  time.Time
	Sequence int64
	Lease    int64 // end of the leases last renewed, on the worker's clock
	Granted  sizer.Size
	Tasks    map[string]*Task // by task ID

	unclaimedAt time.Time // when a new boot was first seen
	health      Health
	reserved    *reservation
	forget      []string
}

// Free returns what may still be granted.
func (worker *Worker) Free() sizer.Size {
	return worker.Capacity.Sub(worker.Granted)
}

// Usable reports whether the worker may get new work at all.
func (worker *Worker) Usable(now time.Time) bool {
	return worker.Claimed && !worker.Leaving && worker.health.usable(now)
}

// clockAt returns a lower bound of the worker's clock.
func (worker *Worker) clockAt(now time.Time) int64 {
	elapsed := now.Sub(worker.ClockAt).Milliseconds()
	return worker.Clock + elapsed - elapsed/driftDivisor
}

// lapsed reports whether a reading of the worker's clock has surely passed.
func (worker *Worker) lapsed(reading int64, now time.Time) bool {
	return worker.clockAt(now) > reading+leaseGuardMS
}

const (
	driftDivisor = 100 // clocks drift by at most 1 in 100
	leaseGuardMS = 500 // work in the instruction at which a paused worker resumes
)

// TeamInfo is what the configuration and the limit ledger say of a team.
type TeamInfo struct {
	Name  string
	Share float64
	Slice sizer.Size // what the zone may run of the team
	Caps  sizer.Size // members that are not 0 are limited by Slice
}

// Team is one row of the team table.
type Team struct {
	TeamInfo
	Used    sizer.Size // granted and running in the zone
	Waiting int
	Queued  sizer.Size // sum of what waits
	Average float64    // dominant share, decayed over ShareMemory
}

// room reports whether the slice has room for size beside what is used and withheld.
func (team *Team) room(size, withheld sizer.Size) bool {
	after := team.Used.Add(withheld).Add(size)
	return within(after.MilliCores, team.Slice.MilliCores, team.Caps.MilliCores) &&
		within(after.MemoryMB, team.Slice.MemoryMB, team.Caps.MemoryMB) &&
		within(after.Accelerators, team.Slice.Accelerators, team.Caps.Accelerators)
}

func within(amount, slice, limit int64) bool {
	return limit == 0 || amount <= slice
}

// ServiceInfo is what the configuration says of a service.
type ServiceInfo struct {
	Name      string
	Placement Placement
	RunTime   time.Duration
	Serves    func(worker string) bool
}

// Placement is how a service spreads over its workers.
type Placement string

// The placements.
const (
	Pack   Placement = "pack"
	Spread Placement = "spread"
	Fast   Placement = "fast"
)

// Service is one row of the service table.
type Service struct {
	ServiceInfo
	workers []*Worker // that serve it, by name
	waiting [Standing + 1]int
	learned Learned
}

// Settings bound the decider's behavior.
type Settings struct {
	StartWindow time.Duration // within which a granted start has to reach its worker
	TaskLease   time.Duration
	Aging       time.Duration // wait after which work counts as one class more pressing
	ReserveWait time.Duration // wait after which blocked work gets a reservation
	PreemptWait time.Duration // wait after which urgent work preempts, and interactive work after five times that
	ShareMemory time.Duration // half-life of the average share
}

// DefaultSettings returns the settings for the target size of docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		StartWindow: 2 * time.Second,
		TaskLease:   40 * time.Second,
		Aging:       5 * time.Minute,
		ReserveWait: 3 * time.Second,
		PreemptWait: 100 * time.Millisecond,
		ShareMemory: 10 * time.Minute,
	}
}

// Effect is something to carry out: one of Start, Ended, Expired and Stop.
type Effect interface{ isEffect() }

// Start tells the origin of a work, or the zone's job driver, to start it.
type Start struct {
	Work  Work
	Grant fencer.Grant
}

// Ended tells how an attempt ended.
type Ended struct {
	Work       Work
	Task       string
	Worker     string
	Ending     Ending
	Status     int
	Checkpoint string
}

// Expired tells that a queued work reached its deadline and was dropped; it did not run.
type Expired struct{ Work Work }

// Stop ends a task on its worker, with its progress kept where Checkpoint is set.
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
