// Package planner schedules the tasks of jobs on a fleet of workers. The workers are the authority on what runs:
// each keeps a list of its runs, a lease that bounds them, and a fencing token.
//
// The planner is a state machine without I/O or a clock of its own: events are method calls that
// carry the current time, and Take returns the records to store and the effects to carry out. A start is carried
// out only after the record that names its run and worker is stored, so that a later planner can find each
// run that may exist. Jobs, steps, workers and teams are kept in tables; Plan updates them and places tasks.
package planner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ebonyshunt.org/library/lessor"
	"ebonyshunt.org/library/sizer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("planner")

// Settings are the time limits and the run time factor of a planner.
type Settings struct {
	Lease               time.Duration // lease that a poll gives to a worker's runs
	MaxLease            time.Duration // longest lease that a worker accepts
	FormerRenewalWindow time.Duration // time that an earlier planner may continue to renew leases after this one began
	FormerOrderWindow   time.Duration // time that an earlier planner may continue to prepare orders after this one began
	FormerCallWindow    time.Duration // time that an earlier planner which gives no leases any more may continue to prepare calls
	OrderTime           time.Duration // time from when an order is prepared in which it may be sent
	CallTime            time.Duration // time from when a call to a worker is prepared until it is executed, if it ever is
	FormerTerm          int64         // term of the latest planner before this one, 0 if it is not known
	StatusRetention     time.Duration // retention time of the state of an ended job
	MaxStopTime         time.Duration // maximum time that a stop takes
	CrossRackFactor     float64       // factor of the run time away from the rack of the data, or across racks
	LearnRunTimes       bool          // whether run times are learned from finished runs, rather than one average per queue
	PoolShares          bool          // whether teams have shares of each service, rather than of the fleet
	ForecastAdmission   bool          // whether jobs that cannot complete in time are refused
	MoveStragglers      bool          // whether urgent runs that are late are started again on other workers
	MaxRecordBytes      int           // maximum size of a record with its key, 0 for no limit
	MaxTasks            int           // maximum number of tasks in memory, of all jobs, 0 for no limit
	MaxJobBytes         int           // maximum memory of all jobs apart from their tasks, 0 for no limit
	// TimeOfDay returns the time of day, which may be stepped at any moment. It only decides when occurrences are due;
	// all else is measured on the steady clock of the event times. Nil stands for time.Now.
	TimeOfDay func() time.Time
}

// Planner holds the tables of one term. It is not safe for concurrent use.
type Planner struct {
	Settings   Settings
	Term       int64
	HandedOver bool // whether the planner before this one handed over, see BeginHandover

	catalog      *Catalog
	drainedZones map[string]bool // availability zones whose workers get no new runs
	drainMoves   []drainMove     // standing tasks that leave these zones, or draining workers
	standbys     []standby       // standing tasks that start again soon
	jobs         map[string]*jobEntry
	scheduled    map[string]*jobEntry // jobs with occurrences that are not due yet
	steps        map[StepKey]*step    // active steps, and steps with runs that may exist
	workers      map[string]*Worker
	workerList   []*Worker // sorted by ID
	teams        map[string]*teamUsage
	servicePools map[string]*servicePool // by service, empty unless Settings.PoolShares
	queueStats   map[string]*queueStats
	admission    admission
	// learned is nil without Settings.LearnRunTimes.
	learned     *learnedRunTimes
	startLimit  StartLimit // how many starts the next pass may make
	startsCutAt time.Time  // when a pass was last ended by startLimit
	slots       Slots      // how many policy queries may be open
	openQueries Slots      // how many policy queries are open
	lastQuery   int64      // ID of the last policy query

	dirty             map[string]bool // IDs of the jobs whose progress has to be stored
	newJobs           map[string]bool // IDs of the submitted jobs that no batch contains yet
	forgottenJobs     []string        // IDs of the jobs whose records the next batch deletes
	changedExpiries   map[string]bool // IDs of the workers whose lease expiry record has to be written or deleted
	endedJobs         []endedJob      // in the order in which they ended
	leaseTerms        lessor.Terms
	former            *lessor.FormerDeciders // when the leases and the calls of earlier planners end
	formerOrdersEnded bool                   // whether formerOrdersEnd has passed
	lastBatch         int64                  // number of the last batch that was taken
	passCount         int64                  // number of placement passes so far
	turnRounds        map[string]int64       // number of the pass in which the round of turns began, by service, see blocked.go
	searchRounds      map[string]int64       // the same for the round of searches for room
	storedBatch       int64                  // number of the last batch that is stored
	now               time.Time              // time of the current event
	startedAt         time.Time
	journalStartMS    int64 // journal's clock when this planner began, see journalMS
	mayLease          bool  // whether this planner may give leases now
	handingOver       handingOver
	leaseBase         time.Time // from when on leases count, zero for the time at which they are given
	settled           bool      // whether the record of settledKey names this term
	settledTerm       int64     // term in the record of settledKey, 0 without a record
	hostCount         int       // of hosts that the decider knows
	storedHostCount   int       // hostCount in the journal
	formerHostCount   int       // hostCount in the journal when this planner began
	hangsCheckedAt    time.Time // when the last search for hung runs took place
	effects           []Effect
	starts            []Start
	events            []EndEvent
	crashes           []CrashEvent
	restarts          []RestartEvent
	silences          []SilenceEvent
	hedging           hedging
	giveBacks         []GiveBack
	moves             []Move
	counts            workCounts
	taskCount         int      // tasks of the occurrences in memory
	jobBytes          int      // memory of the jobs, apart from their tasks
	staleKeys         []string // keys of records that the next batch deletes since nothing refers to them
}

// endedJob is a job whose state is kept for Settings.StatusRetention after it ended.
type endedJob struct {
	id      string
	endedAt time.Time
}

// teamUsage is a row of the team table: the size of a team's open runs, and the token bucket of its submission
// rate.
type teamUsage struct {
	used       sizer.Size
	tokens     float64 // number of jobs that the team may submit now within its rate
	refilledAt time.Time
}

// tokenBits is the number of low bits of a fencing token that count its raises within a term.
const tokenBits = 20

// New returns a planner with empty tables for a term.
func New(settings Settings, term int64, catalog *Catalog, now time.Time) *Planner {
	if settings.TimeOfDay == nil {
		settings.TimeOfDay = time.Now
	}
	terms := lessor.Terms{Lease: settings.Lease, MaxLease: settings.MaxLease, CallTime: settings.CallTime}
	return &Planner{
		now:             now,
		startedAt:       now,
		mayLease:        true,
		leaseTerms:      terms,
		former:          lessor.NewFormerDeciders(now, settings.FormerRenewalWindow, settings.FormerCallWindow, terms),
		Settings:        settings,
		Term:            term,
		catalog:         catalog,
		jobs:            map[string]*jobEntry{},
		scheduled:       map[string]*jobEntry{},
		turnRounds:      map[string]int64{},
		searchRounds:    map[string]int64{},
		steps:           map[StepKey]*step{},
		workers:         map[string]*Worker{},
		teams:           map[string]*teamUsage{},
		servicePools:    map[string]*servicePool{},
		queueStats:      map[string]*queueStats{},
		learned:         newLearnedRunTimes(settings, now),
		dirty:           map[string]bool{},
		newJobs:         map[string]bool{},
		changedExpiries: map[string]bool{},
		hedging:         newHedging(settings),
		admission:       newAdmission(),
		startLimit:      unlimitedStarts,
	}
}

// EndFormerRenewals records that no earlier planner renews leases after a time, and prepares calls for callWindow after it at most. It reports
// whether the end of the renewals was not known yet. It may shorten the wait for the leases of earlier planners to expire.
func (planner *Planner) EndFormerRenewals(after time.Time, callWindow time.Duration) bool {
	return planner.former.EndRenewals(after, after.Add(callWindow+planner.Settings.CallTime), planner.leaseTerms)
}

// FormerRenewalsEnd returns the time from which no earlier planner renews leases.
func (planner *Planner) FormerRenewalsEnd() time.Time { return planner.former.RenewalsEnd }

// FormerLeasesExpireBy returns the time by which every lease of an earlier planner has expired.
func (planner *Planner) FormerLeasesExpireBy() time.Time { return planner.former.ExpireBy }

// SetMayLease sets whether this planner may give leases. It may not while a later planner may have begun: it then sends
// no start orders, and polls without leases.
func (planner *Planner) SetMayLease(may bool) { planner.mayLease = may }

// SetLeaseBase sets the time from which on leases count.
func (planner *Planner) SetLeaseBase(base time.Time) { planner.leaseBase = base }

// SetCatalog replaces the configuration; one whose version is not newer is ignored.
func (planner *Planner) SetCatalog(catalog *Catalog) {
	if catalog.Version > planner.catalog.Version {
		planner.catalog = catalog
	}
}

// Catalog returns the current configuration.
func (planner *Planner) Catalog() *Catalog { return planner.catalog }

// SetWorkers replaces the platform's list of workers. A worker that is no longer listed stays in the table while
// it may have runs.
func (planner *Planner) SetWorkers(infos []WorkerInfo, now time.Time) {
	planner.now = now
	present := map[string]bool{}
	for _, info := range infos {
		present[info.ID] = true
		planner.setWorker(info, now)
	}
	for id, worker := range planner.workers {
		if !present[id] && worker.Listed {
			worker.Listed = false
			worker.unlistedSince = now
		}
	}
	planner.sortWorkers()
	planner.detectReplaced()
}

// sortWorkers rebuilds the sorted list of workers if any were added.
func (planner *Planner) sortWorkers() {
	if len(planner.workerList) == len(planner.workers) {
		return // workers are removed from both at the same time
	}
	planner.workerList = slices.SortedFunc(maps.Values(planner.workers), func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
}

func (planner *Planner) setWorker(info WorkerInfo, now time.Time) {
	worker := planner.workers[info.ID]
	if worker == nil {
		worker = planner.newWorker(info.ID)
	}
	incarnation := worker.Incarnation
	if info.Draining && (!worker.Draining || info.LeavesIn != worker.LeavesIn) {
		worker.leavesAt = now.Add(info.LeavesIn)
	}
	worker.noteCold(info.ColdLeft, now)
	planner.recordListed(worker, info, now)
	if worker.firstListedAt.IsZero() {
		worker.firstListedAt = now
	}
	worker.WorkerInfo, worker.Listed = info, true
	if incarnation != 0 {
		worker.Incarnation = incarnation // a known value changes only through the worker's own answers
	}
}

func (planner *Planner) newWorker(id string) *Worker {
	worker := &Worker{
		WorkerInfo:       WorkerInfo{ID: id},
		Token:            planner.Term<<tokenBits + 1,
		Runs:             map[TaskKey]*Run{},
		leases:           lessor.New(planner.leaseTerms, planner.former),
		runsUnknownSince: planner.now,
	}
	planner.workers[id] = worker
	return worker
}

// ensureTeam returns the usage of a team and creates it if needed.
func (planner *Planner) ensureTeam(name string) *teamUsage {
	usage := planner.teams[name]
	if usage == nil {
		usage = &teamUsage{}
		planner.teams[name] = usage
	}
	return usage
}

// Workers returns copies of the worker entries, sorted by ID.
func (planner *Planner) Workers() []Worker {
	rows := make([]Worker, 0, len(planner.workerList))
	for _, worker := range planner.workerList {
		rows = append(rows, *worker)
	}
	return rows
}

// WorkerIDs returns the IDs of the workers, sorted.
func (planner *Planner) WorkerIDs() []string {
	ids := make([]string, len(planner.workerList))
	for index, worker := range planner.workerList {
		ids[index] = worker.ID
	}
	return ids
}

// State returns the stored state of a job, and false if the job is unknown.
func (planner *Planner) State(id string) (State, bool) {
	entry, known := planner.jobs[id]
	if !known {
		return "", false
	}
	return entry.storedState, true
}

// Pending returns the number of jobs of a queue that have not ended and of which no worker told that it started a task.
func (planner *Planner) Pending(queue string) int {
	count := 0
	for _, entry := range planner.jobs {
		if entry.Queue == queue && !entry.begun && !entry.storedState.Final() {
			count++
		}
	}
	return count
}
