package decider

import (
	"fmt"
	"path"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness is a decider with simulated workers that accept every start, and with a simulated clock.
type harness struct {
	*Decider
	now   time.Time
	infos []WorkerInfo
}

// plainSettings returns settings under which no reservation and no preemption takes place.
func plainSettings() Settings {
	settings := DefaultSettings()
	settings.ReservationDelay = 1000 * time.Hour
	settings.PreemptionDelay = 1000 * time.Hour
	return settings
}

func matchWorkers(pattern string) func(string) bool {
	return func(worker string) bool {
		matched, _ := path.Match(pattern, worker)
		return matched
	}
}

func testServices() []ServiceInfo {
	return []ServiceInfo{
		{Name: "fast", Placement: Fast, RunTime: time.Second, Serves: matchWorkers("*")},
		{Name: "pack", Placement: Pack, RunTime: time.Second, Serves: matchWorkers("*")},
		{Name: "spread", Placement: Spread, RunTime: time.Second, Serves: matchWorkers("w0*")},
	}
}

func newHarness(settings Settings, workers int, capacity sizer.Size) *harness {
	harness := &harness{Decider: New(settings, fencer.Term{Number: 1, Holder: "h"}), now: epoch}
	for number := range workers {
		name := fmt.Sprintf("w%03d", number)
		harness.infos = append(harness.infos, WorkerInfo{Name: name, Address: name, Capacity: capacity})
	}
	harness.SetWorkers(harness.infos, harness.now)
	harness.SetServices(testServices())
	harness.reportAll()
	return harness
}

// reportAll lets every worker confirm the term and report its tasks as running.
func (harness *harness) reportAll() {
	for _, info := range harness.infos {
		report := Report{Boot: "1", Clock: harness.now.Sub(epoch).Milliseconds(), Term: harness.Term}
		for id, task := range harness.workers[info.Name].Tasks {
			report.Tasks = append(report.Tasks, TaskReport{ID: id, Size: task.Size, Running: true})
		}
		harness.ApplyReport(info.Name, report, harness.now)
	}
}

// grants returns the work ID and worker of each Start among the effects.
func grants(effects []Effect) [][2]string {
	var found [][2]string
	for _, effect := range effects {
		if start, ok := effect.(Start); ok {
			found = append(found, [2]string{start.Work.ID, start.Grant.Worker})
		}
	}
	return found
}

// checkInvariants compares the sums that the tables keep with sums over the tasks, and checks the limits of the
// workers and teams.
func (harness *harness) checkInvariants(fatalf func(string, ...any)) {
	used := map[string]sizer.Size{}
	for _, worker := range harness.Workers() {
		var granted sizer.Size
		for _, task := range worker.Tasks {
			granted = granted.Add(task.Size)
			used[task.Team] = used[task.Team].Add(task.Size)
		}
		if granted != worker.Granted || !granted.Fits(worker.Capacity) {
			fatalf("worker %s: granted %s, its tasks add up to %s of %s", worker.Name, worker.Granted, granted, worker.Capacity)
		}
	}
	waiting := map[string]int{}
	for _, task := range harness.Tasks() {
		if task.State == Queued {
			waiting[task.Team]++
		}
	}
	for _, team := range harness.Teams() {
		if team.Used != used[team.Name] || team.QueuedTasks != waiting[team.Name] {
			fatalf("team %s: used %s and waiting %d, found %s and %d", team.Name, team.Used, team.QueuedTasks, used[team.Name], waiting[team.Name])
		}
		if team.Limit.MilliCores > 0 && team.Used.MilliCores > team.Slice.MilliCores {
			fatalf("team %s runs %s, its slice is %s", team.Name, team.Used, team.Slice)
		}
	}
}

// TestDifferential runs random histories on the decider and on the naive decider and requires the same grants in
// the same order. It guards against errors in the sums, queues and heaps that the decider keeps between ticks.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := plainSettings()
		capacity := sizer.Size{MilliCores: 4000, MemoryMB: 4096}
		actual := newHarness(settings, rapid.IntRange(1, 6).Draw(t, "workers"), capacity)
		teams := []TeamInfo{
			{Name: "one", Share: 3},
			{Name: "two", Share: 1, Limit: sizer.Size{MilliCores: 1}, Slice: sizer.Size{MilliCores: 5000}},
			{Name: "three", Share: 1},
		}
		actual.SetTeams(teams)
		reference := &naiveDecider{settings: settings, workers: slices.Clone(actual.infos), teams: teams, services: map[string]*Service{}, average: map[string]float64{}}
		for _, info := range testServices() {
			reference.services[info.Name] = &Service{ServiceInfo: info}
		}
		running := map[string]string{}
		for number := range rapid.IntRange(5, 120).Draw(t, "steps") {
			applyRandomEvent(t, actual, reference, running, number)
			actual.reportAll()
			effects := actual.Tick(actual.now)
			expected := reference.tick(actual.now)
			if found := grants(effects); !slices.Equal(found, expected) {
				t.Fatalf("step %d: granted %v, the naive decider %v", number, found, expected)
			}
			for _, effect := range effects {
				if start, ok := effect.(Start); ok {
					running[start.Work.ID] = start.Grant.Task
				}
			}
			actual.checkInvariants(t.Fatalf)
		}
	})
}

// applyRandomEvent applies one random event to both deciders: new work, the end of a task, cancellations or a
// change of whether a worker is leaving.
func applyRandomEvent(t *rapid.T, actual *harness, reference *naiveDecider, running map[string]string, number int) {
	actual.now = actual.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1, 2:
		for index := range rapid.IntRange(1, 4).Draw(t, "burst") {
			work := drawWork(t, fmt.Sprintf("t%03d.%d", number, index), actual.now)
			actual.Enqueue(work, actual.now)
			reference.waiting = append(reference.waiting, naiveTask{Work: work, queued: actual.now})
		}
	case 3:
		works := sortedKeys(running)
		if len(works) == 0 {
			return
		}
		work := rapid.SampledFrom(works).Draw(t, "ended")
		actual.EndAttempt(running[work], Completed, 200, actual.now)
		reference.finish(work, actual.now)
		delete(running, work)
	case 4:
		for _, task := range actual.Tasks() {
			if task.State == Queued && rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
				actual.Cancel(task.ID)
				reference.cancel(task.ID)
			}
		}
	case 5:
		index := rapid.IntRange(0, len(actual.infos)-1).Draw(t, "worker")
		actual.infos[index].Leaving = !actual.infos[index].Leaving
		reference.workers[index].Leaving = actual.infos[index].Leaving
		actual.SetWorkers(actual.infos, actual.now)
	}
}

func sortedKeys(values map[string]string) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func drawWork(t *rapid.T, id string, now time.Time) Work {
	work := Work{
		ID:      id,
		Team:    rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "team"),
		Service: rapid.SampledFrom([]string{"fast", "pack", "spread"}).Draw(t, "service"),
		Queue:   "q",
		Class:   Class(rapid.IntRange(0, 3).Draw(t, "class")),
		Size:    sizer.Size{MilliCores: 500 * rapid.Int64Range(1, 6).Draw(t, "cores"), MemoryMB: 256},
		Origin:  "h",
	}
	if rapid.IntRange(0, 4).Draw(t, "deadline") == 0 {
		work.Deadline = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "within")) * time.Millisecond)
	}
	return work
}
