package decider

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/sizer"
)

const (
	policySeed           = 20261204
	policyWorkers        = 12
	policyDuration       = 15 * time.Minute
	policyTickInterval   = 100 * time.Millisecond
	policyReportInterval = 5 * time.Second
)

var policyCapacity = sizer.Size{MilliCores: 32_000, MemoryMB: 65_536}

// arrival is a work item with the time of its arrival after epoch and its true run time, which is not visible
// to the policies.
type arrival struct {
	offset  time.Duration
	work    Work
	runTime time.Duration
}

// mixedLoad returns a load like that of the two deployments: steady interactive requests of two teams and urgent ones of
// one of them, standing services, gangs, and the batch work of a week that arrives at once. Batch run times have a
// heavy tail, and declared run times are off by a factor of up to 10.
func mixedLoad() []arrival {
	random := rand.New(rand.NewPCG(policySeed, 1))
	var arrivals []arrival
	add := func(at time.Duration, team string, class Class, cores int64, runTime time.Duration, configure func(*Work)) {
		item := newWork(fmt.Sprintf("%s-%06d", team, len(arrivals)), team, class, sizer.Size{MilliCores: 1000 * cores, MemoryMB: 512 * cores})
		item.Expected = time.Duration(float64(runTime) * math.Pow(10, 2*random.Float64()-1))
		configure(&item)
		arrivals = append(arrivals, arrival{offset: at, work: item, runTime: runTime})
	}
	request := func(item *Work) { item.Origin = "entry" }
	batch := func(item *Work) { item.Job, item.Idempotent, item.Resumable = item.ID, true, true }
	for at := time.Duration(0); at < policyDuration; at += 100 * time.Millisecond {
		add(at, "survey", Interactive, 1, time.Duration(100+random.IntN(800))*time.Millisecond, request)
		add(at, "intake", Interactive, 1, time.Duration(100+random.IntN(400))*time.Millisecond, request)
		if at%time.Second == 0 {
			add(at, "survey", Urgent, 2, time.Second, request)
		}
	}
	for range 40 {
		add(0, "intake", Standing, 2, 2*policyDuration, batch)
	}
	tail := func() time.Duration {
		return time.Duration(min(900, 20/math.Pow(1-random.Float64(), 1/1.5)) * float64(time.Second))
	}
	for range 600 {
		add(time.Minute, "survey", Batch, 4, tail(), batch)
	}
	for range 300 {
		add(2*time.Minute, "intake", Batch, 4, tail(), batch)
	}
	for gang := range 6 {
		for range 8 {
			add(time.Duration(3+gang)*time.Minute, "survey", Batch, 8, time.Minute, func(item *Work) {
				item.Job, item.Gang, item.Idempotent = fmt.Sprint("gang", gang), 8, true
			})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.offset - b.offset) })
	return arrivals
}

// policy is a scheduler that simulate can run.
type policy interface {
	enqueue(work Work, now time.Time)
	finish(work Work, now time.Time)
	tick(now time.Time) (starts [][2]string, stopped []string)
}

// deciderPolicy runs the decider as a policy.
type deciderPolicy struct {
	*harness
	taskByWork map[string]string // task IDs by work ID
	reportedAt time.Time         // time of the last reports of the workers
}

func (deciderPolicy *deciderPolicy) enqueue(work Work, now time.Time) {
	deciderPolicy.Enqueue(work, now)
}

func (deciderPolicy *deciderPolicy) finish(work Work, now time.Time) {
	deciderPolicy.EndAttempt(deciderPolicy.taskByWork[work.ID], Completed, 200, now)
}

func (deciderPolicy *deciderPolicy) tick(now time.Time) (starts [][2]string, stopped []string) {
	deciderPolicy.now = now
	if now.Sub(deciderPolicy.reportedAt) >= policyReportInterval {
		deciderPolicy.reportedAt = now
		deciderPolicy.reportAll()
	}
	for _, effect := range deciderPolicy.Tick(now) {
		switch effect := effect.(type) {
		case Start:
			deciderPolicy.taskByWork[effect.Work.ID] = effect.Grant.Task
			starts = append(starts, [2]string{effect.Work.ID, effect.Grant.Worker})
		case Stop:
			if task, known := deciderPolicy.tasksByID[effect.Task]; known {
				stopped = append(stopped, task.ID)
				deciderPolicy.EndAttempt(effect.Task, Stopped, 0, now)
			}
		}
	}
	return starts, stopped
}

// firstFitPolicy is a baseline policy: one queue in order of arrival, and the first worker that fits.
type firstFitPolicy struct {
	strict  bool                               // no task passes the head of the queue
	allowed func(team string, worker int) bool // whether the team may use the worker
	queue   []*Work
	free    []sizer.Size
	placed  map[string]int
	workers []string
}

func newFirstFitPolicy(strict bool, allowed func(string, int) bool) *firstFitPolicy {
	firstFitPolicy := &firstFitPolicy{strict: strict, allowed: allowed, placed: map[string]int{}}
	for number := range policyWorkers {
		firstFitPolicy.free = append(firstFitPolicy.free, policyCapacity)
		firstFitPolicy.workers = append(firstFitPolicy.workers, fmt.Sprintf("w%03d", number))
	}
	return firstFitPolicy
}

func (firstFitPolicy *firstFitPolicy) enqueue(work Work, _ time.Time) {
	firstFitPolicy.queue = append(firstFitPolicy.queue, &work)
}

func (firstFitPolicy *firstFitPolicy) finish(work Work, _ time.Time) {
	index := firstFitPolicy.placed[work.ID]
	firstFitPolicy.free[index] = firstFitPolicy.free[index].Add(work.Size)
}

func (firstFitPolicy *firstFitPolicy) tick(time.Time) (starts [][2]string, stopped []string) {
	waiting := make([]*Work, 0, len(firstFitPolicy.queue))
	failed := map[shape]bool{}
	for i := 0; i < len(firstFitPolicy.queue); i++ {
		work := firstFitPolicy.queue[i]
		// Workers differ by team here, so the team takes the place of the service.
		key := shape{service: work.Team, size: work.Size}
		index := -1
		if !failed[key] {
			index = firstFitPolicy.firstFit(*work)
		}
		if index < 0 {
			failed[key] = true
			waiting = append(waiting, work)
			if firstFitPolicy.strict {
				waiting = append(waiting, firstFitPolicy.queue[i+1:]...)
				break
			}
			continue
		}
		firstFitPolicy.free[index] = firstFitPolicy.free[index].Sub(work.Size)
		firstFitPolicy.placed[work.ID] = index
		starts = append(starts, [2]string{work.ID, firstFitPolicy.workers[index]})
	}
	firstFitPolicy.queue = waiting
	return starts, nil
}

func (firstFitPolicy *firstFitPolicy) firstFit(work Work) int {
	for index, free := range firstFitPolicy.free {
		if work.Size.Fits(free) && firstFitPolicy.allowed(work.Team, index) {
			return index
		}
	}
	return -1
}

// outcome holds the measurements of a simulated policy.
type outcome struct {
	waits       [Standing + 1][]time.Duration
	utilization float64 // mean part of the capacity in use while each team has over 20 tasks waiting
	shareError  float64 // mean absolute difference between the share of team survey and its target of 0.6 in that time
}

func (outcome *outcome) quantile(class Class, fraction float64) time.Duration {
	waits := outcome.waits[class]
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, int(fraction*float64(len(waits))))]
}

// simulate runs a load on a policy with a simulated clock. A task that never starts counts as waiting to the end.
func simulate(arrivals []arrival, policy policy) *outcome {
	result := &outcome{}
	now := epoch
	end := epoch.Add(policyDuration)
	remaining := map[string]time.Duration{}
	began := map[string]time.Time{}
	byID := map[string]arrival{}
	waiting := map[string]int{}
	used := map[string]sizer.Size{}
	samples := 0
	for next := 0; now.Before(end); now = now.Add(policyTickInterval) {
		for ; next < len(arrivals) && !epoch.Add(arrivals[next].offset).After(now); next++ {
			arrived := arrivals[next]
			byID[arrived.work.ID] = arrived
			remaining[arrived.work.ID] = arrived.runTime
			waiting[arrived.work.Team]++
			policy.enqueue(arrived.work, now)
		}
		for _, id := range finishedWork(began, remaining, now) {
			ended := byID[id].work
			delete(began, id)
			used[ended.Team] = used[ended.Team].Sub(ended.Size)
			policy.finish(ended, now)
		}
		starts, stopped := policy.tick(now)
		for _, id := range stopped {
			stop := byID[id].work
			remaining[id] -= now.Sub(began[id])
			delete(began, id)
			used[stop.Team] = used[stop.Team].Sub(stop.Size)
			waiting[stop.Team]++
			stop.Attempt++
			policy.enqueue(stop, now)
		}
		for _, start := range starts {
			started := byID[start[0]]
			if remaining[start[0]] == started.runTime {
				result.waits[started.work.Class] = append(result.waits[started.work.Class], now.Sub(epoch.Add(started.offset)))
			}
			began[start[0]] = now
			waiting[started.work.Team]--
			used[started.work.Team] = used[started.work.Team].Add(started.work.Size)
		}
		if waiting["survey"] > 20 && waiting["intake"] > 20 {
			samples++
			capacity := policyCapacity.Mul(policyWorkers)
			survey, intake := used["survey"].DominantShare(capacity), used["intake"].DominantShare(capacity)
			result.utilization += survey + intake
			result.shareError += math.Abs(survey - 0.6)
		}
	}
	unstarted := queuedWork(policy)
	for id, arrived := range byID {
		if unstarted[id] && remaining[id] == arrived.runTime {
			result.waits[arrived.work.Class] = append(result.waits[arrived.work.Class], policyDuration-arrived.offset)
		}
	}
	if samples > 0 {
		result.utilization /= float64(samples)
		result.shareError /= float64(samples)
	}
	return result
}

// queuedWork returns the IDs of the work items that a policy still has queued.
func queuedWork(policy policy) map[string]bool {
	queued := map[string]bool{}
	switch policy := policy.(type) {
	case *deciderPolicy:
		for _, task := range policy.Tasks() {
			queued[task.ID] = task.State == Queued
		}
	case *firstFitPolicy:
		for _, work := range policy.queue {
			queued[work.ID] = true
		}
	}
	return queued
}

// finishedWork returns the sorted IDs of the work items that have run for their remaining time.
func finishedWork(began map[string]time.Time, remaining map[string]time.Duration, now time.Time) []string {
	var ended []string
	for id, start := range began {
		if now.Sub(start) >= remaining[id] {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended
}

func newDeciderPolicy() *deciderPolicy {
	harness := newHarness(DefaultSettings(), policyWorkers, policyCapacity)
	harness.SetTeams([]TeamInfo{unlimitedTeam("survey", 3), unlimitedTeam("intake", 2)})
	return &deciderPolicy{harness: harness, taskByWork: map[string]string{}, reportedAt: epoch}
}

// TestPolicy compares the decider with three baselines on the same load and prints the table of docs/POLICY.md. It
// guards against a policy change that makes urgent work miss its target, makes interactive work wait longer than
// under a baseline, or brings teams further from their shares.
func TestPolicy(t *testing.T) {
	arrivals := mixedLoad()
	everyone := func(string, int) bool { return true }
	divided := func(team string, worker int) bool { return (team == "survey") == (worker < policyWorkers*3/5) }
	policies := []struct {
		name   string
		policy policy
	}{
		{"decider", newDeciderPolicy()},
		{"first come first served", newFirstFitPolicy(true, everyone)},
		{"greedy first fit", newFirstFitPolicy(false, everyone)},
		{"static partition", newFirstFitPolicy(false, divided)},
	}
	results := map[string]*outcome{}
	for _, candidate := range policies {
		result := simulate(arrivals, candidate.policy)
		results[candidate.name] = result
		t.Logf("%-24s urgent p50 %8s p99 %8s | interactive p50 %8s p99 %8s | batch p50 %8s p99 %8s | busy %.2f | share off by %.2f", candidate.name,
			result.quantile(Urgent, .5), result.quantile(Urgent, .99), result.quantile(Interactive, .5), result.quantile(Interactive, .99),
			result.quantile(Batch, .5).Round(time.Second), result.quantile(Batch, .99).Round(time.Second), result.utilization, result.shareError)
	}
	decider := results["decider"]
	if worst := decider.quantile(Urgent, 1); worst > 1400*time.Millisecond {
		t.Errorf("urgent work waited %s, the target is 1.4 s", worst)
	}
	for _, name := range []string{"first come first served", "greedy first fit", "static partition"} {
		if decider.quantile(Interactive, .99) > results[name].quantile(Interactive, .99) {
			t.Errorf("interactive work waits longer than under %s", name)
		}
	}
	if decider.shareError > results["first come first served"].shareError || decider.shareError > results["greedy first fit"].shareError {
		t.Error("the teams are further from their shares than under a baseline without shares")
	}
}
