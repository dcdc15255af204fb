package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// pass is one run of placement over all waiting steps.
type pass struct {
	planner *Planner
	now     time.Time
	held    map[string]bool // workers that wait for a more pressing step

	number   int64 // of the pass
	shares   shares
	shared   bool                  // teams get no more than their share for now
	promised map[string]sizer.Size // by service: work whose question is open
	pools    map[string]*pool
}

// pool is what a pass knows of a service's workers.
type pool struct {
	workers    []*Worker  // sound and taking work, by ID
	room       sizer.Size // free on them in all at the start of the pass
	largest    sizer.Size // most that is free of each resource on one of them
	passed     int        // steps that found no room
	searches   int        // for workers to keep free or to preempt on
	exhaustion bool       // no more steps are looked at in this pass
}

// run places all steps. Among those that are equally pressing, teams get no more than their share of the
// fleet at first, and then what is left.
func (pass *pass) run(all []ranked) {
	pass.shares = pass.planner.shares()
	for len(all) > 0 {
		count := 1
		for count < len(all) && all[count].rank.tier == all[0].rank.tier && all[count].rank.priority == all[0].rank.priority {
			count++
		}
		for _, pass.shared = range []bool{true, false} {
			for _, ranked := range all[:count] {
				pass.place(ranked.step)
			}
		}
		all = all[count:]
	}
	pass.shared = false
	pass.copyTasks()
}

// place starts what it can of a step's waiting tasks.
func (pass *pass) place(step *step) {
	if len(step.waiting) == 0 || step.passed == pass.number || !pass.withinShare(step) {
		return
	}
	queue, found := pass.planner.catalog.Queue(step.job.Queue)
	if !found {
		return
	}
	pool := pass.pool(queue.Service)
	if pool.exhaustion {
		return
	}
	if !step.charge().Fits(pool.largest) {
		pass.wait(step, queue)
		return
	}
	if step.Gang {
		pass.placeGang(step, queue)
		return
	}
	for len(step.waiting) > 0 {
		index := step.waiting[0]
		if !pass.planner.within(step.job.Team, step.Step, 1) || !pass.withinShare(step) {
			return
		}
		worker := pass.choose(step, queue, &step.tasks[index], nil, "")
		if worker == nil {
			pass.wait(step, queue)
			return
		}
		step.waiting = step.waiting[1:]
		pass.planner.start(step, index, step.tasks[index].number+1, worker, pass.now)
	}
	step.blocked = time.Time{}
}

// within reports whether a team's cap leaves room for some more tasks.
func (planner *Planner) within(name string, step *Step, count int64) bool {
	info, found := planner.catalog.Teams[name]
	if !found {
		return true
	}
	used := planner.team(name).used.Add(step.Size.Times(count))
	return under(used.MilliCores, info.Cap.MilliCores) && under(used.MemoryMB, info.Cap.MemoryMB) &&
		under(used.Accelerators, info.Cap.Accelerators)
}

func under(used, limit int64) bool { return limit == 0 || used <= limit }

// start makes a run, which is carried out once it is stored.
func (planner *Planner) start(step *step, index, number int, worker *Worker, now time.Time) {
	key := TaskKey{Job: step.key.Job, Occurrence: step.key.Occurrence, Step: step.key.Step, Index: index}
	step.tasks[index].number = number
	if step.of.zone == "" {
		step.of.zone = worker.Zone
	}
	planner.attach(step, planner.newRun(step, key, number, worker, now))
	if step.job.state == Queued {
		step.job.state = Running
	}
	planner.touch(step.job)
	planner.starts = append(planner.starts, Start{Key: key, Number: number})
}

func (planner *Planner) newRun(step *step, key TaskKey, number int, worker *Worker, now time.Time) *Run {
	queue, _ := planner.catalog.Queue(step.job.Queue)
	return &Run{
		Urgent: queue.Priority == 0 && !step.Standing,
		Key:    key, Number: number, Worker: worker.ID, Born: worker.Born, Size: step.charge(), Token: worker.Token,
		Began: now, Moved: now, Filler: step.Filler, Serving: step.TailMS > 0,
	}
}

// choose returns the best worker for a task, or nil; taken is what this step has been given on workers
// besides, rack restricts the choice.
func (pass *pass) choose(step *step, queue Queue, task *task, taken map[string]int, rack string) *Worker {
	var best *Worker
	bestCost := 0.0
	for _, worker := range pass.pool(queue.Service).workers {
		count := taken[worker.ID]
		if task != nil && task.run != nil && task.run.Worker == worker.ID {
			continue
		}
		if !pass.eligible(step, queue, worker, count) || rack != "" && !slices.Contains(worker.Labels, rack) {
			continue
		}
		cost := pass.cost(step, queue, task, worker, count)
		if best == nil || cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	return best
}

// pool returns what the pass knows of a service's workers.
func (pass *pass) pool(service string) *pool {
	if found := pass.pools[service]; found != nil {
		return found
	}
	made := &pool{}
	for _, id := range pass.planner.names {
		worker := pass.planner.workers[id]
		if worker.Service != service || !worker.Listed || worker.Draining || !pass.planner.sound(worker, pass.now) {
			continue
		}
		free := worker.Free().Max(sizer.Size{})
		made.workers = append(made.workers, worker)
		made.room = made.room.Add(free)
		made.largest = made.largest.Max(free)
	}
	pass.pools[service] = made
	return made
}

// eligible reports whether a worker can take one more task of the step now, beside some that it is given
// in the same round.
func (pass *pass) eligible(step *step, queue Queue, worker *Worker, taken int) bool {
	planner := pass.planner
	if !worker.hasLabel(step.Label) || pass.held[worker.ID] {
		return false
	}
	if !step.charge().Times(int64(taken+1)).Fits(worker.Free()) || !planner.apart(step, worker, taken) {
		return false
	}
	if step.Filler && worker.serving > 0 || step.TailMS > 0 && worker.fillers > 0 {
		return false
	}
	return queue.Policy == nil || step.policy.valid(worker, pass.now)
}

func (planner *Planner) sound(worker *Worker, now time.Time) bool {
	return planner.leasable(worker) && worker.strangers == 0 && (worker.fresh(now) || worker.rested(now)) && worker.health.usable(now)
}

// apart reports whether a worker may get one more task of a step that spreads its tasks.
func (planner *Planner) apart(step *step, worker *Worker, taken int) bool {
	if step.MostPerWorker <= 0 {
		return true
	}
	count := taken
	for key := range worker.Runs {
		if key.step() == step.key {
			count++
		}
	}
	return count < step.MostPerWorker
}

const (
	failedHereCost = 4.0  // of a worker on which the task has failed
	fillCost       = 0.25 // of a worker that would be left wholly empty
	apartCost      = 0.5  // of a worker that serves none of the tasks that fillers disturb
	awayCost       = 0.3  // to urgent work, of a worker outside the zone of its other tasks
	besideCost     = 0.6  // to a copy, of a worker in the zone of the other run
	restedCost     = 0.3  // of a worker that has not answered lately, and may be gone
	unlikeCost     = 0.5  // to work that is not urgent, of a worker twice as slow or fast as others
)

// cost rates a worker for a task by the time that the work takes there, and then by how well it packs.
// Work that is not urgent leaves the fast workers to others, and avoids the slow ones. Urgent work keeps to
// one zone, so that the cut of a zone delays few jobs rather than a part of each.
func (pass *pass) cost(step *step, queue Queue, task *task, worker *Worker, taken int) float64 {
	cost := worker.slowness()
	if queue.Priority > 0 && !step.Gang {
		cost = 1 + unlikeCost*math.Abs(cost-1)
	}
	if step.DataRack != "" && !slices.Contains(worker.Labels, step.DataRack) {
		cost *= max(pass.planner.Settings.Spread, 1)
	}
	left := worker.Free().Sub(step.charge().Times(int64(taken + 1)))
	cost += fillCost * left.Dominant(worker.Capacity)
	if step.TailMS > 0 && worker.serving == 0 {
		cost += apartCost
	}
	if !worker.fresh(pass.now) {
		cost += restedCost
	}
	if task != nil {
		cost += pass.pastCost(task, worker)
	}
	if queue.Priority == 0 && step.of.zone != "" && step.of.zone != worker.Zone {
		cost += awayCost
	}
	return cost
}

// pastCost rates a worker by what became of a task's earlier runs.
func (pass *pass) pastCost(task *task, worker *Worker) float64 {
	cost := 0.0
	if slices.Contains(task.failedOn, worker.ID) {
		cost += failedHereCost
	}
	if task.run != nil && pass.planner.worker(task.run.Worker).Zone == worker.Zone {
		cost += besideCost
	}
	return cost
}

// placeGang starts all tasks of a gang or none.
func (pass *pass) placeGang(step *step, queue Queue) {
	if !pass.planner.within(step.job.Team, step.Step, int64(step.Count)) {
		return
	}
	workers := pass.chooseGang(step, queue)
	if workers == nil {
		pass.wait(step, queue)
		return
	}
	number := step.gang
	checkpoint := ""
	for index := range step.tasks {
		number = max(number, step.tasks[index].number)
		checkpoint = max(checkpoint, step.tasks[index].checkpoint)
	}
	step.gang = number + 1
	step.waiting = nil
	step.blocked = time.Time{}
	for index, worker := range workers {
		step.tasks[index].checkpoint = checkpoint
		pass.planner.start(step, index, step.gang, worker, pass.now)
	}
}

// chooseGang returns a worker for each task, in one rack where that is faster and possible.
func (pass *pass) chooseGang(step *step, queue Queue) []*Worker {
	if step.OneRack {
		for _, rack := range pass.planner.racks(queue.Service) {
			if workers := pass.chooseAll(step, queue, rack); workers != nil {
				return workers
			}
		}
	}
	return pass.chooseAll(step, queue, "")
}

func (pass *pass) chooseAll(step *step, queue Queue, rack string) []*Worker {
	taken := map[string]int{}
	workers := make([]*Worker, 0, step.Count)
	for index := range step.tasks {
		worker := pass.choose(step, queue, &step.tasks[index], taken, rack)
		if worker == nil {
			return nil
		}
		taken[worker.ID]++
		workers = append(workers, worker)
	}
	return workers
}

// racks returns the labels that several workers of a service share, but not all.
func (planner *Planner) racks(service string) []string {
	counts := map[string]int{}
	total := 0
	for _, worker := range planner.workers {
		if worker.Service != service {
			continue
		}
		total++
		for _, label := range worker.Labels {
			counts[label]++
		}
	}
	maps.DeleteFunc(counts, func(_ string, count int) bool { return count == total })
	return slices.Sorted(maps.Keys(counts))
}
