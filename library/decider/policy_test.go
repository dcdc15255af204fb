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
	policySeed    = 20261204
	policyWorkers = 12
	policySpan    = 15 * time.Minute
	policyTick    = 100 * time.Millisecond
	policyReport  = 5 * time.Second
)

var policyCapacity = sizer.Size{MilliCores: 32_000, MemoryMB: 65_536}

// arrival is one work with its true run time, which the decider does not know.
type arrival struct {
	at   time.Duration
	work Work
	runs time.Duration
}

// fridayLoad is shaped like the two deployments: steady interactive requests and urgent ones of two teams,
// standing watchers, gangs, and a week's batch work at once, with heavy tails and wrong declarations.
func fridayLoad() []arrival {
	random := rand.New(rand.NewPCG(policySeed, 1))
	var arrivals []arrival
	add := func(at time.Duration, team string, class Class, cores int64, runs time.Duration, edit func(*Work)) {
		asked := work(fmt.Sprintf("%s-%06d", team, len(arrivals)), team, class, sizer.Size{MilliCores: 1000 * cores, MemoryMB: 512 * cores})
		asked.Expected = time.Duration(float64(runs) * math.Pow(10, 2*random.Float64()-1))
		edit(&asked)
		arrivals = append(arrivals, arrival{at: at, work: asked, runs: runs})
	}
	request := func(asked *Work) { asked.Origin = "entry" }
	batch := func(asked *Work) { asked.Job, asked.Idempotent, asked.Resumable = asked.ID, true, true }
	for at := time.Duration(0); at < policySpan; at += 100 * time.Millisecond {
		add(at, "survey", Interactive, 1, time.Duration(100+random.IntN(800))*time.Millisecond, request)
		add(at, "intake", Interactive, 1, time.Duration(100+random.IntN(400))*time.Millisecond, request)
		if at%time.Second == 0 {
			add(at, "survey", Urgent, 2, time.Second, request)
		}
	}
	for range 40 {
		add(0, "intake", Standing, 2, 2*policySpan, batch)
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
			add(time.Duration(3+gang)*time.Minute, "survey", Batch, 8, time.Minute, func(asked *Work) {
				asked.Job, asked.Gang, asked.Idempotent = fmt.Sprint("gang", gang), 8, true
			})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// policy is what is compared.
type policy interface {
	enqueue(work Work, now time.Time)
	finish(work Work, now time.Time)
	tick(now time.Time) (starts [][2]string, stopped []string)
}

// realPolicy is the decider.
type realPolicy struct {
	*bench
	ids map[string]string // task by work
	at  time.Time
}

func (realPolicy *realPolicy) enqueue(work Work, now time.Time) { realPolicy.Enqueue(work, now) }

func (realPolicy *realPolicy) finish(work Work, now time.Time) {
	realPolicy.Completed(realPolicy.ids[work.ID], Completed, 200, now)
}

func (realPolicy *realPolicy) tick(now time.Time) (starts [][2]string, stopped []string) {
	realPolicy.now = now
	if now.Sub(realPolicy.at) >= policyReport {
		realPolicy.at = now
		realPolicy.claim()
	}
	for _, effect := range realPolicy.Tick(now) {
		switch effect := effect.(type) {
		case Start:
			realPolicy.ids[effect.Work.ID] = effect.Grant.Task
			starts = append(starts, [2]string{effect.Work.ID, effect.Grant.Worker})
		case Stop:
			if task, known := realPolicy.byID[effect.Task]; known {
				stopped = append(stopped, task.ID)
				realPolicy.Completed(effect.Task, Stopped, 0, now)
			}
		}
	}
	return starts, stopped
}

// queuePolicy is a baseline: one queue by arrival and the first worker that fits.
type queuePolicy struct {
	strict  bool                               // nothing passes the head of the queue
	own     func(team string, worker int) bool // workers of a team
	queue   []*Work
	free    []sizer.Size
	placed  map[string]int
	workers []string
}

func newQueuePolicy(strict bool, own func(string, int) bool) *queuePolicy {
	made := &queuePolicy{strict: strict, own: own, placed: map[string]int{}}
	for number := range policyWorkers {
		made.free = append(made.free, policyCapacity)
		made.workers = append(made.workers, fmt.Sprintf("w%03d", number))
	}
	return made
}

func (queuePolicy *queuePolicy) enqueue(work Work, _ time.Time) {
	queuePolicy.queue = append(queuePolicy.queue, &work)
}

func (queuePolicy *queuePolicy) finish(work Work, _ time.Time) {
	at := queuePolicy.placed[work.ID]
	queuePolicy.free[at] = queuePolicy.free[at].Add(work.Size)
}

func (queuePolicy *queuePolicy) tick(time.Time) (starts [][2]string, stopped []string) {
	left := make([]*Work, 0, len(queuePolicy.queue))
	failed := map[shape]bool{}
	for i := 0; i < len(queuePolicy.queue); i++ {
		work := queuePolicy.queue[i]
		kind := shape{service: work.Team, size: work.Size}
		at := -1
		if !failed[kind] {
			at = queuePolicy.fit(*work)
		}
		if at < 0 {
			failed[kind] = true
			left = append(left, work)
			if queuePolicy.strict {
				left = append(left, queuePolicy.queue[i+1:]...)
				break
			}
			continue
		}
		queuePolicy.free[at] = queuePolicy.free[at].Sub(work.Size)
		queuePolicy.placed[work.ID] = at
		starts = append(starts, [2]string{work.ID, queuePolicy.workers[at]})
	}
	queuePolicy.queue = left
	return starts, nil
}

func (queuePolicy *queuePolicy) fit(work Work) int {
	for at, free := range queuePolicy.free {
		if work.Size.Fits(free) && queuePolicy.own(work.Team, at) {
			return at
		}
	}
	return -1
}

// outcome is what a policy achieved.
type outcome struct {
	waits    [Standing + 1][]time.Duration
	busy     float64 // mean part of the capacity in use while both teams had batch work waiting
	distance float64 // mean distance of team survey from its share in that time
}

func (outcome *outcome) quantile(class Class, part float64) time.Duration {
	waits := outcome.waits[class]
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, int(part*float64(len(waits))))]
}

// play runs a load against a policy on a clock of its own. Works that never start wait to the end.
func play(arrivals []arrival, policy policy) *outcome {
	found := &outcome{}
	now := epoch
	end := epoch.Add(policySpan)
	left := map[string]time.Duration{}
	began := map[string]time.Time{}
	byID := map[string]arrival{}
	waiting := map[string]int{}
	used := map[string]sizer.Size{}
	samples := 0
	for next := 0; now.Before(end); now = now.Add(policyTick) {
		for ; next < len(arrivals) && !epoch.Add(arrivals[next].at).After(now); next++ {
			arrived := arrivals[next]
			byID[arrived.work.ID] = arrived
			left[arrived.work.ID] = arrived.runs
			waiting[arrived.work.Team]++
			policy.enqueue(arrived.work, now)
		}
		for _, id := range due(began, left, now) {
			ended := byID[id].work
			delete(began, id)
			used[ended.Team] = used[ended.Team].Sub(ended.Size)
			policy.finish(ended, now)
		}
		starts, stopped := policy.tick(now)
		for _, id := range stopped {
			stop := byID[id].work
			left[id] -= now.Sub(began[id])
			delete(began, id)
			used[stop.Team] = used[stop.Team].Sub(stop.Size)
			waiting[stop.Team]++
			stop.Attempt++
			policy.enqueue(stop, now)
		}
		for _, start := range starts {
			started := byID[start[0]]
			if left[start[0]] == started.runs {
				found.waits[started.work.Class] = append(found.waits[started.work.Class], now.Sub(epoch.Add(started.at)))
			}
			began[start[0]] = now
			waiting[started.work.Team]--
			used[started.work.Team] = used[started.work.Team].Add(started.work.Size)
		}
		if waiting["survey"] > 20 && waiting["intake"] > 20 {
			samples++
			capacity := policyCapacity.Times(policyWorkers)
			survey, intake := used["survey"].Dominant(capacity), used["intake"].Dominant(capacity)
			found.busy += survey + intake
			found.distance += math.Abs(survey - 0.6)
		}
	}
	unstarted := queuedIn(policy)
	for id, arrived := range byID {
		if unstarted[id] && left[id] == arrived.runs {
			found.waits[arrived.work.Class] = append(found.waits[arrived.work.Class], policySpan-arrived.at)
		}
	}
	if samples > 0 {
		found.busy /= float64(samples)
		found.distance /= float64(samples)
	}
	return found
}

// queuedIn returns the works that a policy still holds in its queue.
func queuedIn(policy policy) map[string]bool {
	queued := map[string]bool{}
	switch policy := policy.(type) {
	case *realPolicy:
		for _, task := range policy.Tasks() {
			queued[task.ID] = task.State == Queued
		}
	case *queuePolicy:
		for _, work := range policy.queue {
			queued[work.ID] = true
		}
	}
	return queued
}

// due returns the works that have run their time, in order.
func due(began map[string]time.Time, left map[string]time.Duration, now time.Time) []string {
	var ended []string
	for id, start := range began {
		if now.Sub(start) >= left[id] {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended
}

func newRealPolicy() *realPolicy {
	made := newBench(DefaultSettings(), policyWorkers, policyCapacity)
	made.SetTeams([]TeamInfo{open("survey", 3), open("intake", 2)})
	return &realPolicy{bench: made, ids: map[string]string{}, at: epoch}
}

// TestPolicy compares the decider with three baselines on one load, and prints the table of docs/POLICY.md.
func TestPolicy(t *testing.T) {
	arrivals := fridayLoad()
	everyone := func(string, int) bool { return true }
	divided := func(team string, worker int) bool { return (team == "survey") == (worker < policyWorkers*3/5) }
	policies := []struct {
		name   string
		policy policy
	}{
		{"decider", newRealPolicy()},
		{"first come first served", newQueuePolicy(true, everyone)},
		{"greedy first fit", newQueuePolicy(false, everyone)},
		{"static partition", newQueuePolicy(false, divided)},
	}
	results := map[string]*outcome{}
	for _, each := range policies {
		found := play(arrivals, each.policy)
		results[each.name] = found
		t.Logf("%-24s urgent p50 %8s p99 %8s | interactive p50 %8s p99 %8s | batch p50 %8s p99 %8s | busy %.2f | share off by %.2f", each.name,
			found.quantile(Urgent, .5), found.quantile(Urgent, .99), found.quantile(Interactive, .5), found.quantile(Interactive, .99),
			found.quantile(Batch, .5).Round(time.Second), found.quantile(Batch, .99).Round(time.Second), found.busy, found.distance)
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
	if decider.distance > results["first come first served"].distance || decider.distance > results["greedy first fit"].distance {
		t.Error("the teams are further from their shares than under a baseline without shares")
	}
}
