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

// bench is a decider with fake workers that accept every start.
type bench struct {
	*Decider
	now   time.Time
	infos []WorkerInfo
}

func plainSettings() Settings {
	settings := DefaultSettings()
	settings.ReserveWait = 1000 * time.Hour
	settings.PreemptWait = 1000 * time.Hour
	return settings
}

func serves(pattern string) func(string) bool {
	return func(worker string) bool {
		matched, _ := path.Match(pattern, worker)
		return matched
	}
}

func testServices() []ServiceInfo {
	return []ServiceInfo{
		{Name: "fast", Placement: Fast, RunTime: time.Second, Serves: serves("*")},
		{Name: "pack", Placement: Pack, RunTime: time.Second, Serves: serves("*")},
		{Name: "spread", Placement: Spread, RunTime: time.Second, Serves: serves("w0*")},
	}
}

func newBench(settings Settings, workers int, capacity sizer.Size) *bench {
	made := &bench{Decider: New(settings, fencer.Term{Number: 1, Holder: "h"}), now: epoch}
	for number := range workers {
		name := fmt.Sprintf("w%03d", number)
		made.infos = append(made.infos, WorkerInfo{Name: name, Address: name, Capacity: capacity})
	}
	made.SetWorkers(made.infos, made.now)
	made.SetServices(testServices())
	made.claim()
	return made
}

// claim lets every worker confirm the term and report its tasks as running.
func (bench *bench) claim() {
	for _, info := range bench.infos {
		report := Report{Boot: "1", Clock: bench.now.Sub(epoch).Milliseconds(), Term: bench.Term}
		for id, task := range bench.workers[info.Name].Tasks {
			report.Tasks = append(report.Tasks, Reported{ID: id, Size: task.Size, Running: true})
		}
		bench.Reported(info.Name, report, bench.now)
	}
}

// grants returns work and worker of each start among effects.
func grants(effects []Effect) [][2]string {
	var found [][2]string
	for _, effect := range effects {
		if start, ok := effect.(Start); ok {
			found = append(found, [2]string{start.Work.ID, start.Grant.Worker})
		}
	}
	return found
}

// checkInvariants recomputes every sum of the tables.
func (bench *bench) checkInvariants(fatalf func(string, ...any)) {
	used := map[string]sizer.Size{}
	for _, worker := range bench.Workers() {
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
	for _, task := range bench.Tasks() {
		if task.State == Queued {
			waiting[task.Team]++
		}
	}
	for _, team := range bench.Teams() {
		if team.Used != used[team.Name] || team.Waiting != waiting[team.Name] {
			fatalf("team %s: used %s and waiting %d, found %s and %d", team.Name, team.Used, team.Waiting, used[team.Name], waiting[team.Name])
		}
		if team.Caps.MilliCores > 0 && team.Used.MilliCores > team.Slice.MilliCores {
			fatalf("team %s runs %s, its slice is %s", team.Name, team.Used, team.Slice)
		}
	}
}

// TestDifferential holds the decider against the naive one over random histories.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := plainSettings()
		capacity := sizer.Size{MilliCores: 4000, MemoryMB: 4096}
		actual := newBench(settings, rapid.IntRange(1, 6).Draw(t, "workers"), capacity)
		teams := []TeamInfo{
			{Name: "one", Share: 3},
			{Name: "two", Share: 1, Caps: sizer.Size{MilliCores: 1}, Slice: sizer.Size{MilliCores: 5000}},
			{Name: "three", Share: 1},
		}
		actual.SetTeams(teams)
		twin := &naive{settings: settings, workers: slices.Clone(actual.infos), teams: teams, services: map[string]*Service{}, average: map[string]float64{}}
		for _, info := range testServices() {
			twin.services[info.Name] = &Service{ServiceInfo: info}
		}
		running := map[string]string{}
		for number := range rapid.IntRange(5, 120).Draw(t, "steps") {
			stepBoth(t, actual, twin, running, number)
			actual.claim()
			effects := actual.Tick(actual.now)
			expected := twin.tick(actual.now)
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

// stepBoth does one random thing to both deciders.
func stepBoth(t *rapid.T, actual *bench, twin *naive, running map[string]string, number int) {
	actual.now = actual.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1, 2:
		for part := range rapid.IntRange(1, 4).Draw(t, "burst") {
			work := drawWork(t, fmt.Sprintf("t%03d.%d", number, part), actual.now)
			actual.Enqueue(work, actual.now)
			twin.waiting = append(twin.waiting, naiveTask{Work: work, queued: actual.now})
		}
	case 3:
		works := sortedKeys(running)
		if len(works) == 0 {
			return
		}
		work := rapid.SampledFrom(works).Draw(t, "ended")
		actual.Completed(running[work], Completed, 200, actual.now)
		twin.finish(work, actual.now)
		delete(running, work)
	case 4:
		for _, task := range actual.Tasks() {
			if task.State == Queued && rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
				actual.Cancel(task.ID)
				twin.cancel(task.ID)
			}
		}
	case 5:
		at := rapid.IntRange(0, len(actual.infos)-1).Draw(t, "worker")
		actual.infos[at].Leaving = !actual.infos[at].Leaving
		twin.workers[at].Leaving = actual.infos[at].Leaving
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
