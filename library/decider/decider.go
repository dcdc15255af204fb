package decider

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

// Decider holds the tables of one zone. It is not safe for concurrent use.
type Decider struct {
	Settings Settings
	Term     fencer.Term
	Counters Counters

	workers           map[string]*Worker
	workerNames       []string // sorted keys of workers
	teams             map[string]*Team
	services          map[string]*Service
	tasksByWork       map[string]*Task            // all tasks, by work ID
	tasksByID         map[string]*Task            // granted and running tasks, by task ID
	taskQueues        map[taskQueueKey]*taskQueue // without empty ones
	totalCapacity     sizer.Size                  // capacity of all workers
	unclaimedCapacity sizer.Size                  // total capacity of the unclaimed workers
	blockedShapes     map[shape]bool              // shapes that found no worker in the current tick
	effects           []Effect                    // emitted since the last tick
	averagedAt        time.Time                   // last update of the teams' average shares

	deadlines         deadlineHeap
	reservationCounts map[string]int // number of reserved workers, by reservation holder
	queueLengths      map[string]int // number of queued tasks, by queue
	deferred          []Work         // held back until all workers are claimed
	reservingGang     string         // job of the gang that holds or last held reservations
}

// Counters holds operation counts since the decider was created.
type Counters struct {
	Placements int64 // grants
	Examined   int64 // workers considered for placements, reservations and preemptions
	Ticks      int64
	Preempted  int64 // tasks stopped to make room for others
}

// New returns a decider with empty tables for the given term.
func New(settings Settings, term fencer.Term) *Decider {
	return &Decider{
		Settings:      settings,
		Term:          term,
		workers:       map[string]*Worker{},
		teams:         map[string]*Team{},
		services:      map[string]*Service{},
		tasksByWork:   map[string]*Task{},
		tasksByID:     map[string]*Task{},
		taskQueues:    map[taskQueueKey]*taskQueue{},
		blockedShapes: map[shape]bool{},

		reservationCounts: map[string]int{},
		queueLengths:      map[string]int{},
	}
}

// SetTeams replaces the teams' configuration. A removed team keeps its row, so that its running tasks still
// count, but gets an empty slice and starts nothing more.
func (decider *Decider) SetTeams(infos []TeamInfo) {
	present := map[string]bool{}
	for _, info := range infos {
		present[info.Name] = true
		decider.ensureTeam(info.Name).TeamInfo = info
	}
	for name, team := range decider.teams {
		if !present[name] {
			team.Slice = sizer.Size{}
			team.Limit = minLimit
		}
	}
}

// minLimit limits all resources of a team that is not configured; its slice of the limit is empty.
var minLimit = sizer.Size{MilliCores: 1, MemoryMB: 1, Accelerators: 1}

// ensureTeam returns the team's row. For an unknown team it creates one with limits and an empty slice, so that the team's
// tasks are counted but none start.
func (decider *Decider) ensureTeam(name string) *Team {
	team, found := decider.teams[name]
	if !found {
		team = &Team{TeamInfo: TeamInfo{Name: name, Share: 1, Limit: minLimit}}
		decider.teams[name] = team
	}
	return team
}

// SetServices replaces the services' configuration and keeps the statistics of the services that remain.
func (decider *Decider) SetServices(infos []ServiceInfo) {
	services := map[string]*Service{}
	for _, info := range infos {
		service := decider.services[info.Name]
		if service == nil {
			service = &Service{}
		}
		service.ServiceInfo = info
		services[info.Name] = service
	}
	decider.services = services
	decider.indexWorkers()
}

// SetWorkers replaces the list of the zone's workers. Tasks of a worker that is no longer listed, or is
// listed under another address, end as Vanished.
func (decider *Decider) SetWorkers(infos []WorkerInfo, now time.Time) {
	present := map[string]bool{}
	for _, info := range infos {
		present[info.Name] = true
		worker := decider.workers[info.Name]
		if worker == nil || worker.Address != info.Address {
			decider.dropTasks(worker)
			worker = &Worker{Tasks: map[string]*Task{}}
			decider.workers[info.Name] = worker
		}
		worker.WorkerInfo = info
	}
	for _, name := range slices.Sorted(maps.Keys(decider.workers)) {
		if !present[name] {
			decider.dropTasks(decider.workers[name])
			delete(decider.workers, name)
		}
	}
	decider.workerNames = slices.Sorted(maps.Keys(decider.workers))
	decider.indexWorkers()
	decider.sumCapacity()
}

// dropTasks ends all tasks of a worker as Vanished; worker may be nil.
func (decider *Decider) dropTasks(worker *Worker) {
	if worker == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(worker.Tasks)) {
		decider.endAttempt(worker.Tasks[id], Vanished, 0, "", time.Time{})
	}
}

// indexWorkers rebuilds each service's list of workers.
func (decider *Decider) indexWorkers() {
	for _, service := range decider.services {
		service.workers = service.workers[:0]
		for _, name := range decider.workerNames {
			if service.Serves(name) {
				service.workers = append(service.workers, decider.workers[name])
			}
		}
	}
}

func (decider *Decider) sumCapacity() {
	decider.totalCapacity, decider.unclaimedCapacity = sizer.Size{}, sizer.Size{}
	for _, worker := range decider.workers {
		decider.totalCapacity = decider.totalCapacity.Add(worker.Capacity)
		if !worker.Claimed {
			decider.unclaimedCapacity = decider.unclaimedCapacity.Add(worker.Capacity)
		}
	}
}

// Enqueue queues a work item. It has no effect if the work item is queued, granted or running already.
func (decider *Decider) Enqueue(work Work, now time.Time) {
	if _, known := decider.tasksByWork[work.ID]; known {
		return
	}
	task := &Task{Work: work, QueuedAt: now}
	decider.tasksByWork[work.ID] = task
	decider.appendToQueue(task)
}

// Cancel drops a queued or deferred work item, or requests the stop of a granted or running one. It returns false
// if an attempt may still be running, and true otherwise, also for an unknown work item.
func (decider *Decider) Cancel(work string) bool {
	decider.dropDeferred(work)
	task, known := decider.tasksByWork[work]
	if !known {
		return true
	}
	if task.State == Queued {
		decider.dropQueued(task)
		return true
	}
	decider.stop(task, false)
	return false
}

// EndAttempt ends an attempt with the outcome that its starter observed, such as an entry host that received
// the whole answer, ahead of the worker's report. It has no effect on an unknown task.
func (decider *Decider) EndAttempt(taskID string, ending Ending, status int, now time.Time) {
	if task, known := decider.tasksByID[taskID]; known {
		decider.endAttempt(task, ending, status, "", now)
	}
}

// QueueLength returns the number of work items that wait in a queue.
func (decider *Decider) QueueLength(queue string) int { return decider.queueLengths[queue] }

// WorkerOf returns the worker of a granted or running task.
func (decider *Decider) WorkerOf(taskID string) (string, bool) {
	task, known := decider.tasksByID[taskID]
	if !known {
		return "", false
	}
	return task.Grant.Worker, true
}

// NextPollTime returns when to poll a worker for the end of a task: at the earliest expected end of its tasks,
// or once that has passed, after a quarter of the time that the task has run. A task whose start is not
// confirmed or whose stop was requested is due at once. Running requests are left out, as their entry hosts
// observe their ends. It reports false if there is nothing to poll for.
func (decider *Decider) NextPollTime(name string, now time.Time) (time.Time, bool) {
	worker, found := decider.workers[name]
	if !found {
		return time.Time{}, false
	}
	var next time.Time
	for _, task := range worker.Tasks {
		if task.Origin != "" && task.State == Running && !task.Stopping {
			continue
		}
		end := task.GrantedAt.Add(decider.expectedRun(task))
		if ran := now.Sub(task.GrantedAt); !end.After(now) {
			end = now.Add(ran / overdueCheckDivisor)
		}
		if task.State == Granted || task.Stopping {
			end = now
		}
		if next.IsZero() || end.Before(next) {
			next = end
		}
	}
	return next, !next.IsZero()
}

// overdueCheckDivisor sets the polling delay of an overdue task as a part of the time that it has run.
const overdueCheckDivisor = 4

// UnplaceableReason returns the reason why no worker of the zone can run a work item even when idle, or "" if one can.
func (decider *Decider) UnplaceableReason(work Work) string {
	service, found := decider.services[work.Service]
	if !found || len(service.workers) == 0 {
		return fmt.Sprintf("no worker serves %s", work.Service)
	}
	reason := ""
	for _, worker := range service.workers {
		excess := work.Size.ExcessReason(worker.Capacity)
		if excess == "" && !worker.Leaving {
			return ""
		}
		if excess != "" {
			reason = fmt.Sprintf("%s of worker %s", excess, worker.Name)
		}
	}
	if reason == "" {
		return "every worker that is large enough is leaving"
	}
	return reason
}

// Lookup returns a copy of the task row of a work ID.
func (decider *Decider) Lookup(work string) (Task, bool) {
	task, known := decider.tasksByWork[work]
	if !known {
		return Task{}, false
	}
	return *task, true
}

// dropQueued removes a queued task with its reservations.
func (decider *Decider) dropQueued(task *Task) {
	decider.removeFromQueue(task)
	decider.cancelReservations(reservationHolder(task))
	delete(decider.tasksByWork, task.ID)
}

// stop requests the end of a task once; further calls for the task have no effect.
func (decider *Decider) stop(task *Task, checkpoint bool) {
	if task.Stopping {
		return
	}
	task.Stopping = true
	decider.emit(Stop{
		Worker:     task.Grant.Worker,
		Address:    task.Grant.Address,
		Task:       task.Grant.Task,
		Term:       decider.Term,
		Checkpoint: checkpoint,
	})
}

func (decider *Decider) emit(effect Effect) {
	decider.effects = append(decider.effects, effect)
}

// grant starts a new attempt of a task on a worker. The caller has checked that it fits.
func (decider *Decider) grant(task *Task, worker *Worker, now time.Time) {
	decider.removeFromQueue(task)
	task.Attempt++
	clock := worker.clockLowerBound(now)
	task.Grant = fencer.Grant{
		Task:     fmt.Sprintf("%s~%d.%d", task.ID, decider.Term.Number, task.Attempt),
		Team:     task.Team,
		Worker:   worker.Name,
		Address:  worker.Address,
		Boot:     worker.Boot,
		Term:     decider.Term,
		NotAfter: clock + decider.Settings.StartTimeout.Milliseconds(),
		LeaseEnd: clock + decider.Settings.TaskLeaseDuration.Milliseconds(),
	}
	task.State = Granted
	task.GrantedAt = now
	decider.allocate(task, worker)
	worker.health.probeRunning = worker.health.probing
	decider.ensureService(task.Service).statistics.recordStart(now)
	decider.Counters.Placements++
	decider.emit(Start{Work: task.Work, Grant: task.Grant})
}

// allocate adds a task to its worker and counts its size as used by the worker and the team.
func (decider *Decider) allocate(task *Task, worker *Worker) {
	worker.Tasks[task.Grant.Task] = task
	worker.Granted = worker.Granted.Add(task.Size)
	decider.tasksByID[task.Grant.Task] = task
	team := decider.ensureTeam(task.Team)
	team.Used = team.Used.Add(task.Size)
}

func (decider *Decider) release(task *Task) {
	if worker := decider.workers[task.Grant.Worker]; worker != nil && worker.Tasks[task.Grant.Task] != nil {
		delete(worker.Tasks, task.Grant.Task)
		worker.Granted = worker.Granted.Sub(task.Size)
	}
	delete(decider.tasksByID, task.Grant.Task)
	team := decider.ensureTeam(task.Team)
	team.Used = team.Used.Sub(task.Size)
}

// endAttempt removes a granted or running task, records its outcome and emits Ended.
func (decider *Decider) endAttempt(task *Task, ending Ending, status int, checkpoint string, now time.Time) {
	decider.release(task)
	delete(decider.tasksByWork, task.ID)
	decider.recordEnding(task, ending, now)
	decider.emit(Ended{
		Work:       task.Work,
		Task:       task.Grant.Task,
		Worker:     task.Grant.Worker,
		Ending:     ending,
		Status:     status,
		Checkpoint: checkpoint,
	})
}

// recordEnding updates the worker's health and the service's statistics by the outcome of an attempt.
func (decider *Decider) recordEnding(task *Task, ending Ending, now time.Time) {
	worker := decider.workers[task.Grant.Worker]
	if worker == nil {
		return
	}
	worker.health.probeRunning = false
	switch ending {
	case Completed:
		worker.health.recordSuccess()
		decider.ensureService(task.Service).statistics.recordRun(worker.Name, now.Sub(task.GrantedAt))
	case Failed:
		decider.recordFailure(task, worker, now)
	case Stopped, NeverRan, Vanished:
	}
}

// recordFailure counts a failure against the worker. A work item that failed on minFailedWorkers workers is
// taken to be at fault itself, and its failures no longer count against any worker.
func (decider *Decider) recordFailure(task *Task, worker *Worker, now time.Time) {
	worker.health.recordFailure(task.ID, now)
	failedOn := 0
	for _, other := range decider.workers {
		if other.health.failedWork[task.ID] {
			failedOn++
		}
	}
	if failedOn < minFailedWorkers {
		return
	}
	for _, other := range decider.workers {
		other.health.retractFailure(task.ID)
	}
}

// ensureService returns the service's row. For an unknown service it creates one that no worker serves.
func (decider *Decider) ensureService(name string) *Service {
	service, found := decider.services[name]
	if !found {
		service = &Service{ServiceInfo: ServiceInfo{Name: name, Serves: func(string) bool { return false }}}
		decider.services[name] = service
	}
	return service
}

// ExpectedWait estimates how long a new work item will wait behind the queued work of its service that is of
// the same or a more urgent class. It reports false while the recent start rate is too low for an estimate.
func (decider *Decider) ExpectedWait(serviceName string, class Class, now time.Time) (time.Duration, bool) {
	service, found := decider.services[serviceName]
	if !found {
		return 0, false
	}
	ahead := 0
	for _, waiting := range service.queuedTasks[:class+1] {
		ahead += waiting
	}
	rate := service.statistics.startRate(now)
	if ahead == 0 || rate < minStartRate {
		return 0, ahead == 0
	}
	seconds := math.Min(float64(ahead)/rate, maxExpectedWait.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

const (
	minStartRate    = 0.01 // starts per second below which there is no estimate
	maxExpectedWait = 24 * time.Hour
)

// Label returns the work item as JSON. A worker stores it with the task, and a later decider restores the
// task from it.
func Label(work Work) (string, error) {
	text, err := json.Marshal(work)
	if err != nil {
		return "", fmt.Errorf("encode label of %s: %w", work.ID, err)
	}
	return string(text), nil
}

// Workers returns copies of the worker rows, ordered by name.
func (decider *Decider) Workers() []Worker {
	rows := make([]Worker, 0, len(decider.workerNames))
	for _, name := range decider.workerNames {
		rows = append(rows, *decider.workers[name])
	}
	return rows
}

// Teams returns copies of the team rows, ordered by name.
func (decider *Decider) Teams() []Team {
	var rows []Team
	for _, name := range slices.Sorted(maps.Keys(decider.teams)) {
		rows = append(rows, *decider.teams[name])
	}
	return rows
}

// Tasks returns copies of the task rows, ordered by work ID.
func (decider *Decider) Tasks() []Task {
	rows := make([]Task, 0, len(decider.tasksByWork))
	for _, id := range slices.Sorted(maps.Keys(decider.tasksByWork)) {
		rows = append(rows, *decider.tasksByWork[id])
	}
	return rows
}

// TotalCapacity returns the capacity of all workers of the zone.
func (decider *Decider) TotalCapacity() sizer.Size { return decider.totalCapacity }
