// Package planner decides what runs where on a whole fleet of workers whose leases, fencing tokens and
// lists of runs are the truth about what runs.
//
// It is a state machine without input, output or clock of its own: events come in as method calls with
// the current time, Take returns what has to be stored and the effects to carry out. A start is carried
// out only after the record that names its run and worker is stored, so that a later planner knows each
// run that may exist. Entities stand in tables (jobs, steps, workers, teams), and Plan runs over them.
package planner

import (
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("planner")

// Settings are the periods of a planner.
type Settings struct {
	Lease        time.Duration // for which a hold keeps a worker's runs alive
	LongestLease time.Duration // that a worker accepts
	Authority    time.Duration // for which an earlier planner may go on renewing leases after this one began
	StatusFor    time.Duration // for which the state of an ended job is kept
	StopTime     time.Duration // that a stop takes at most
	Spread       float64       // run time away from the data's rack, or across racks, as a multiple
}

// Planner holds the tables. It is not safe for concurrent use.
type Planner struct {
	Settings Settings
	Term     int64

	catalog *Catalog
	jobs    map[string]*row
	timed   map[string]*row // jobs with occurrences to come
	steps   map[StepKey]*step
	workers map[string]*Worker
	names   []string // of workers, sorted
	teams   map[string]*team
	queues  map[string]*learned
	slots   Slots
	open    Slots // questions that are open

	dirty     map[string]bool // jobs whose progress has to be stored
	fresh     map[string]bool // jobs that were never stored
	drop      []string        // jobs to forget
	lapses    map[string]bool // workers whose recorded lapse has changed
	retired   []retiredJob
	lapse     time.Time // by when every lease of an earlier planner has run out
	batch     int64     // taken last
	passes    int64     // of placement so far
	durable   int64     // batch stored last
	now       time.Time // of the present event
	restarted time.Time // when runs that stand still were last looked for
	effects   []Effect
	starts    []Start
	notes     []Note
}

type retiredJob struct {
	id string
	at time.Time
}

// team is one row of the team table.
type team struct {
	used   sizer.Size
	tokens float64 // jobs that are owed right now
	filled time.Time
}

// tokenBits is how many tokens a term has for raising, as a power of two.
const tokenBits = 20

// New returns a planner with empty tables for a term.
func New(settings Settings, term int64, catalog *Catalog, now time.Time) *Planner {
	return &Planner{
		now:      now,
		lapse:    now.Add(settings.Authority + settings.onSlowClock(settings.Lease)),
		Settings: settings,
		Term:     term,
		catalog:  catalog,
		jobs:     map[string]*row{},
		timed:    map[string]*row{},
		steps:    map[StepKey]*step{},
		workers:  map[string]*Worker{},
		teams:    map[string]*team{},
		queues:   map[string]*learned{},
		dirty:    map[string]bool{},
		fresh:    map[string]bool{},
		lapses:   map[string]bool{},
	}
}

// onSlowClock returns for how long a lease may last on a slow clock.
func (Settings) onSlowClock(lease time.Duration) time.Duration {
	return lease + lease/(driftDivisor-1) + lapseGuard
}

// Unopposed takes note that no earlier planner renews leases after a time.
func (planner *Planner) Unopposed(after time.Time) {
	lapse := after.Add(planner.Settings.onSlowClock(planner.Settings.Lease))
	if !lapse.Before(planner.lapse) {
		return
	}
	for _, worker := range planner.workers {
		if worker.deadAfter.Equal(planner.lapse) {
			worker.deadAfter = lapse
		}
	}
	planner.lapse = lapse
}

// SetCatalog puts a newer configuration in force; an older one is ignored.
func (planner *Planner) SetCatalog(catalog *Catalog) {
	if catalog.Version > planner.catalog.Version {
		planner.catalog = catalog
	}
}

// Catalog returns the configuration in force.
func (planner *Planner) Catalog() *Catalog { return planner.catalog }

// SetWorkers replaces what the platform's list says. Whoever is no longer listed keeps its row while runs
// may still be on it.
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
			worker.unlisted = now
		}
	}
	planner.names = slices.Sorted(maps.Keys(planner.workers))
}

func (planner *Planner) setWorker(info WorkerInfo, now time.Time) {
	worker := planner.workers[info.ID]
	if worker == nil {
		worker = planner.newWorker(info.ID)
	}
	known := worker.Born
	worker.WorkerInfo, worker.Listed = info, true
	if known != 0 {
		worker.Born = known // changes only by what the worker itself answers
	}
	if !info.Draining {
		worker.DrainsAt = time.Time{}
	} else if worker.DrainsAt.IsZero() {
		worker.DrainsAt = now
	}
}

func (planner *Planner) newWorker(id string) *Worker {
	worker := &Worker{
		WorkerInfo: WorkerInfo{ID: id},
		Token:      planner.Term<<tokenBits + 1,
		Runs:       map[TaskKey]*Run{},
		deadAfter:  planner.lapse,
		lostAt:     planner.now,
	}
	planner.workers[id] = worker
	return worker
}

func (planner *Planner) team(name string) *team {
	found := planner.teams[name]
	if found == nil {
		found = &team{}
		planner.teams[name] = found
	}
	return found
}

// Workers returns copies of the worker rows by ID.
func (planner *Planner) Workers() []Worker {
	rows := make([]Worker, 0, len(planner.names))
	for _, id := range planner.names {
		rows = append(rows, *planner.workers[id])
	}
	return rows
}

// State returns the state of a job as it is stored, and false where no such job is known.
func (planner *Planner) State(id string) (State, bool) {
	row, known := planner.jobs[id]
	if !known {
		return "", false
	}
	return row.shown, true
}

// QueueOf returns the queue of a job, or nothing where no such job is known.
func (planner *Planner) QueueOf(id string) string {
	if row := planner.jobs[id]; row != nil {
		return row.Queue
	}
	return ""
}

// Pending returns how many accepted jobs of a queue have not begun.
func (planner *Planner) Pending(queue string) int {
	count := 0
	for _, row := range planner.jobs {
		if row.Queue == queue && row.shown == Queued {
			count++
		}
	}
	return count
}
